//! JSON with comments, read with the place of each value.

use catkinlatch_base::Place;
use jsonc_parser::{
    CollectOptions, ParseOptions, ast::Value as Node, common::Range, errors::ParseError,
    parse_to_ast,
};
use serde_json::{Map, Number, Value};

/// The syntax that settings may use beyond JSON: comments and trailing commas.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
};

/// A text in JSON with comments.
#[derive(Clone, Copy, Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Names a text.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Reads the syntax tree; an empty text has none.
    pub fn parse(&self) -> Result<Option<Node<'a>>, ParseError> {
        parse_to_ast(self.text, &CollectOptions::default(), &SYNTAX).map(|parsed| parsed.value)
    }

    /// Returns the place where a range begins.
    pub fn place(&self, range: Range) -> Place {
        let before = self.text.get(..range.start).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Place { file: self.file.to_owned(), line: count(line), column: count(column) }
    }
}

/// Turns a syntax tree into a plain value.
pub fn value(node: &Node<'_>) -> Value {
    match node {
        Node::NullKeyword(_) => Value::Null,
        Node::BooleanLit(literal) => Value::Bool(literal.value),
        Node::StringLit(literal) => Value::String(literal.value.to_string()),
        Node::NumberLit(literal) => {
            let number = literal.value.parse::<Number>();
            number.map_or_else(|_| Value::String(literal.value.to_owned()), Value::Number)
        }
        Node::Array(array) => Value::Array(array.elements.iter().map(value).collect()),
        Node::Object(object) => {
            let pairs = object.properties.iter();
            let pairs = pairs.map(|p| (p.name.as_str().to_owned(), value(&p.value)));
            Value::Object(pairs.collect::<Map<String, Value>>())
        }
    }
}
