//! Loads settings from a file and collects all errors in them.

use super::{
    Settings,
    document::{self, Document},
    rule,
    schema::{self, Field, Shape},
};
use catkinlatch_base::{Findings, Place, nearest};
use jsonc_parser::{
    ast::{Object, Value as Node},
    common::{Range, Ranged},
};
use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::Path,
};

/// The maximum edit distance between an unknown field and the known one that is suggested instead.
const MAX_NAME_EDITS: usize = 3;

/// Reads the file that holds a credential.
pub type ReadFile<'a> = &'a dyn Fn(&Path) -> io::Result<String>;

/// The places of the top-level fields in a settings file, and the names of the invalid ones.
#[derive(Debug)]
pub struct Places {
    root: Place,
    fields: BTreeMap<String, Place>,
    invalid: BTreeSet<String>,
}

impl Places {
    /// Returns the place of the first of these fields that is in the file, or else that of the
    /// settings as a whole.
    pub fn of(&self, names: &[&str]) -> Place {
        names.iter().find_map(|name| self.fields.get(*name)).unwrap_or(&self.root).clone()
    }

    /// Returns whether none of these fields is invalid or missing.
    pub fn are_valid(&self, names: &[&str]) -> bool {
        names.iter().all(|name| !self.invalid.contains(*name))
    }
}

impl Settings {
    /// Loads settings from a file; relative paths in it are resolved against the file's folder.
    ///
    /// # Errors
    ///
    /// Returns all errors in the settings, or that the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let folder = path.parent().unwrap_or(Path::new("")).to_owned();
        let text = fs::read_to_string(path).map_err(|error| {
            let mut findings = Findings::new();
            let hint = "name a settings file that this user may read";
            findings.add(Place { file: file.clone(), line: 1, column: 1 }, error.to_string(), hint);
            findings
        })?;
        let read = |name: &Path| fs::read_to_string(folder.join(name));
        let mut settings = Self::parse(&file, &text, &read)?;
        settings.data_folder = settings.data_folder.map(|data| folder.join(data));
        Ok(settings)
    }

    /// Parses settings from a text; `file` is named in the findings, and `read` reads the files
    /// that hold credentials.
    ///
    /// # Errors
    ///
    /// Returns all errors in the settings, or the first syntax error.
    pub fn parse(file: &str, text: &str, read: ReadFile<'_>) -> Result<Self, Findings> {
        let document = Document::new(file, text);
        let mut reader = Reader { document, read, findings: Findings::new() };
        let start = Range { start: 0, end: 0 };
        let object = match document.parse() {
            Ok(Some(Node::Object(object))) => object,
            Ok(_) => {
                reader.add_finding(start, "the settings are not an object", "begin with \"{\"");
                return Err(reader.findings);
            }
            Err(error) => {
                let text =
                    format!("the text is not JSON: {}", lowercase_first(&error.kind().to_string()));
                reader.add_finding(
                    error.range(),
                    text,
                    "correct the syntax; the rest is not checked",
                );
                return Err(reader.findings);
            }
        };
        let (values, invalid) = reader.check_object(&object, schema::SETTINGS);
        let place = |range| document.place(range);
        let fields = object.properties.iter();
        let fields = fields.map(|p| (p.name.as_str().to_owned(), place(p.range))).collect();
        let places = Places { root: place(object.range), fields, invalid };
        reader.build(values, &places)
    }
}

/// Converts the syntax tree to settings and collects findings.
struct Reader<'a> {
    document: Document<'a>,
    read: ReadFile<'a>,
    findings: Findings,
}

impl Reader<'_> {
    fn add_finding(&mut self, range: Range, text: impl Into<String>, hint: impl Into<String>) {
        self.findings.add(self.document.place(range), text, hint);
    }

    /// Builds the settings and checks the rules between valid fields.
    fn build(mut self, values: Map<String, Value>, places: &Places) -> Result<Settings, Findings> {
        match serde_json::from_value::<Settings>(Value::Object(with_defaults(values))) {
            Ok(settings) => {
                self.findings.extend(rule::check(&settings, places));
                self.findings.sort();
                self.findings.into_result(settings)
            }
            Err(error) => {
                self.findings.add(places.root.clone(), error.to_string(), "correct the value");
                self.findings.sort();
                Err(self.findings)
            }
        }
    }

    /// Checks an object; returns its valid values and the names of its invalid and missing fields.
    fn check_object(
        &mut self,
        object: &Object<'_>,
        fields: &'static [Field],
    ) -> (Map<String, Value>, BTreeSet<String>) {
        let (mut values, mut invalid) = (Map::new(), BTreeSet::new());
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                let near = nearest(name, fields.iter().map(|field| field.name), MAX_NAME_EDITS);
                self.add_finding(
                    property.range,
                    format!("unknown field {name:?}"),
                    unknown_field_hint(near),
                );
                near.map(|near| invalid.insert(near.to_owned()));
                continue;
            };
            if !seen.insert(field.name) {
                let text = format!("the field {name:?} is given twice");
                self.add_finding(property.range, text, "keep one of them");
            }
            match self.check_field(field, &property.value) {
                Some(value) => {
                    values.insert(name.to_owned(), value);
                }
                None => {
                    invalid.insert(name.to_owned());
                }
            }
        }
        for field in fields.iter().filter(|field| field.required) {
            // A misspelled field was reported in its place already and is not missing as well.
            if !seen.contains(field.name) && invalid.insert(field.name.to_owned()) {
                let text = format!("the field {:?} is missing", field.name);
                self.add_finding(object.range, text, format!("add {:?}", field.name));
            }
        }
        (values, invalid)
    }

    /// Checks one field; returns its value if it is valid.
    fn check_field(&mut self, field: &Field, node: &Node<'_>) -> Option<Value> {
        let name = field.name;
        match field.shape {
            Shape::Value { expected, check } => self.check_value(name, node, expected, check),
            Shape::Number { min, max } => {
                let value = document::to_json(node);
                if value.as_u64().is_some_and(|number| (min..=max).contains(&number)) {
                    return Some(value);
                }
                let text = format!("{name} is not a whole number from {min} to {max}");
                self.add_finding(node.range(), text, format!("{value} was given; write a number"));
                None
            }
            Shape::Credential => self.read_credential(name, node),
            Shape::List { expected, check } => {
                let elements = self.elements(name, node)?;
                let checked: Vec<Option<Value>> = elements
                    .iter()
                    .map(|element| self.check_value(name, element, expected, check))
                    .collect();
                checked.into_iter().collect::<Option<Vec<Value>>>().map(Value::Array)
            }
            Shape::Objects(fields) => {
                let elements = self.elements(name, node)?;
                let checked: Vec<Option<Value>> = elements
                    .iter()
                    .map(|element| self.check_element(name, element, fields))
                    .collect();
                checked.into_iter().collect::<Option<Vec<Value>>>().map(Value::Array)
            }
        }
    }

    fn check_value(
        &mut self,
        name: &str,
        node: &Node<'_>,
        expected: &str,
        check: fn(&Value) -> Result<(), String>,
    ) -> Option<Value> {
        let value = document::to_json(node);
        let Err(error) = check(&value) else { return Some(value) };
        self.add_finding(node.range(), format!("{name} is not valid: {error}"), expected);
        None
    }

    fn elements<'n, 'a>(&mut self, name: &str, node: &'n Node<'a>) -> Option<&'n [Node<'a>]> {
        if let Node::Array(array) = node {
            return Some(&array.elements);
        }
        self.add_finding(node.range(), format!("{name} is not a list"), "write it as [ ... ]");
        None
    }

    fn check_element(
        &mut self,
        name: &str,
        node: &Node<'_>,
        fields: &'static [Field],
    ) -> Option<Value> {
        let Node::Object(object) = node else {
            self.add_finding(
                node.range(),
                format!("{name} holds a value that is not an object"),
                "write { ... }",
            );
            return None;
        };
        let (values, invalid) = self.check_object(object, fields);
        invalid.is_empty().then_some(Value::Object(values))
    }

    /// Reads a credential from the settings, or from the file that they name for it.
    fn read_credential(&mut self, name: &str, node: &Node<'_>) -> Option<Value> {
        let text = match document::to_json(node) {
            Value::String(text) => text,
            Value::Object(map)
                if map.len() == 1 && map.get("file").is_some_and(Value::is_string) =>
            {
                let file = map.get("file").and_then(Value::as_str).unwrap_or_default();
                match (self.read)(Path::new(file)) {
                    Ok(text) => text.trim().to_owned(),
                    Err(error) => {
                        let text = format!("{name}: cannot read {file}: {error}");
                        self.add_finding(node.range(), text, "name a file that this user may read");
                        return None;
                    }
                }
            }
            _ => {
                let hint = "write a text, or { \"file\": \"path\" }";
                self.add_finding(node.range(), format!("{name} is not a credential"), hint);
                return None;
            }
        };
        if !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic()) {
            return Some(Value::String(text));
        }
        let text = format!("{name} is empty or has characters that a header cannot carry");
        self.add_finding(node.range(), text, "use printable ASCII without spaces");
        None
    }
}

/// Replaces missing and invalid fields by defaults, so that the rules between valid fields can be
/// checked.
fn with_defaults(values: Map<String, Value>) -> Map<String, Value> {
    let host = "host".parse().expect("the id is valid");
    let zone = "zone".parse().expect("the id is valid");
    let defaults = serde_json::to_value(Settings::loopback(host, zone));
    let Ok(Value::Object(mut filled)) = defaults else { unreachable!("settings are an object") };
    filled.extend(values);
    filled
}

fn unknown_field_hint(near: Option<&str>) -> String {
    match near {
        Some(near) => format!("did you mean {near:?}?"),
        None => "remove it; `catkinlatch settings example` shows the fields".to_owned(),
    }
}

fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |first| first.to_lowercase().chain(chars).collect())
}
