//! Parser for JSON with comments that keeps the position of each value.

use catkinlatch_base::Place;
use jsonc_parser::{
    CollectOptions, ParseOptions, ast::Value as Node, common::Range, errors::ParseError,
    parse_to_ast,
};
use serde_json::{Map, Number, Value};

/// The syntax that settings may use in addition to JSON: comments and trailing commas.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
};

/// A text in JSON with comments, and the name of its file.
#[derive(Clone, Copy, Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Creates a document; `file` is named in the places that it returns.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Parses the syntax tree; `None` if the text holds no value.
    pub fn parse(&self) -> Result<Option<Node<'a>>, ParseError> {
        parse_to_ast(self.text, &CollectOptions::default(), &SYNTAX).map(|parsed| parsed.value)
    }

    /// Returns the line and column where a range begins, both counted from 1.
    pub fn place(&self, range: Range) -> Place {
        let before = self.text.get(..range.start).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Place { file: self.file.to_owned(), line: count(line), column: count(column) }
    }
}

/// Converts a syntax tree into a JSON value; a number that `serde_json` cannot
/// parse becomes a string.
pub fn to_json(node: &Node<'_>) -> Value {
    match node {
        Node::NullKeyword(_) => Value::Null,
        Node::BooleanLit(literal) => Value::Bool(literal.value),
        Node::StringLit(literal) => Value::String(literal.value.to_string()),
        Node::NumberLit(literal) => {
            let number = literal.value.parse::<Number>();
            number.map_or_else(|_| Value::String(literal.value.to_owned()), Value::Number)
        }
        Node::Array(array) => Value::Array(array.elements.iter().map(to_json).collect()),
        Node::Object(object) => {
            let pairs = object.properties.iter();
            let pairs = pairs.map(|p| (p.name.as_str().to_owned(), to_json(&p.value)));
            Value::Object(pairs.collect::<Map<String, Value>>())
        }
    }
}
