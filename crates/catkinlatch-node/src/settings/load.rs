//! Reads settings from a file and collects all that is wrong with them.

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

/// The most edits by which a field may differ from what was meant.
const MAX_EDITS: usize = 3;

/// Reads a file that a credential lies in.
pub type ReadFile<'a> = &'a dyn Fn(&Path) -> io::Result<String>;

/// Where the settings' fields stand, and which of them are faulty.
#[derive(Debug)]
pub struct Places {
    root: Place,
    fields: BTreeMap<String, Place>,
    faulty: BTreeSet<String>,
}

impl Places {
    /// Returns the place of the first of these fields that is in the file.
    pub fn of(&self, names: &[&str]) -> Place {
        names.iter().find_map(|name| self.fields.get(*name)).unwrap_or(&self.root).clone()
    }

    /// Returns whether none of these fields is faulty.
    pub fn sound(&self, names: &[&str]) -> bool {
        names.iter().all(|name| !self.faulty.contains(*name))
    }
}

impl Settings {
    /// Reads settings from a file; relative paths in it start at the file's folder.
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

    /// Reads settings from a text, or returns all that is wrong with it.
    pub fn parse(file: &str, text: &str, read: ReadFile<'_>) -> Result<Self, Findings> {
        let document = Document::new(file, text);
        let mut reader = Reader { document, read, findings: Findings::new() };
        let start = Range { start: 0, end: 0 };
        let object = match document.parse() {
            Ok(Some(Node::Object(object))) => object,
            Ok(_) => {
                reader.find(start, "the settings are not an object", "begin with \"{\"");
                return Err(reader.findings);
            }
            Err(error) => {
                let text = format!("the text is not JSON: {}", lower(&error.kind().to_string()));
                reader.find(error.range(), text, "correct the syntax; the rest is not checked");
                return Err(reader.findings);
            }
        };
        let (values, faulty) = reader.object(&object, schema::SETTINGS);
        let place = |range| document.place(range);
        let fields = object.properties.iter();
        let fields = fields.map(|p| (p.name.as_str().to_owned(), place(p.range))).collect();
        let places = Places { root: place(object.range), fields, faulty };
        reader.finish(values, &places)
    }
}

/// Walks the syntax tree and collects findings.
struct Reader<'a> {
    document: Document<'a>,
    read: ReadFile<'a>,
    findings: Findings,
}

impl Reader<'_> {
    fn find(&mut self, range: Range, text: impl Into<String>, hint: impl Into<String>) {
        self.findings.add(self.document.place(range), text, hint);
    }

    /// Builds the settings and checks the rules between fields that are sound.
    fn finish(mut self, values: Map<String, Value>, places: &Places) -> Result<Settings, Findings> {
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

    /// Checks an object and returns its sound values and the names of its faulty fields.
    fn object(
        &mut self,
        object: &Object<'_>,
        fields: &'static [Field],
    ) -> (Map<String, Value>, BTreeSet<String>) {
        let (mut values, mut faulty) = (Map::new(), BTreeSet::new());
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                let near = nearest(name, fields.iter().map(|field| field.name), MAX_EDITS);
                self.find(property.range, format!("unknown field {name:?}"), unknown_hint(near));
                near.map(|near| faulty.insert(near.to_owned()));
                continue;
            };
            if !seen.insert(field.name) {
                let text = format!("the field {name:?} is given twice");
                self.find(property.range, text, "keep one of them");
            }
            match self.field(field, &property.value) {
                Some(value) => {
                    values.insert(name.to_owned(), value);
                }
                None => {
                    faulty.insert(name.to_owned());
                }
            }
        }
        for field in fields.iter().filter(|field| field.required) {
            // A near miss is reported where it stands, not as a missing field as well.
            if !seen.contains(field.name) && faulty.insert(field.name.to_owned()) {
                let text = format!("the field {:?} is missing", field.name);
                self.find(object.range, text, format!("add {:?}", field.name));
            }
        }
        (values, faulty)
    }

    /// Checks one field and returns its value if it is sound.
    fn field(&mut self, field: &Field, node: &Node<'_>) -> Option<Value> {
        let name = field.name;
        match field.shape {
            Shape::Value { expected, check } => self.checked(name, node, expected, check),
            Shape::Number { min, max } => {
                let value = document::value(node);
                if value.as_u64().is_some_and(|number| (min..=max).contains(&number)) {
                    return Some(value);
                }
                let text = format!("{name} is not a whole number from {min} to {max}");
                self.find(node.range(), text, format!("{value} was given; write a number"));
                None
            }
            Shape::Credential => self.credential(name, node),
            Shape::List { expected, check } => {
                let elements = self.elements(name, node)?;
                let checked: Vec<Option<Value>> = elements
                    .iter()
                    .map(|element| self.checked(name, element, expected, check))
                    .collect();
                checked.into_iter().collect::<Option<Vec<Value>>>().map(Value::Array)
            }
            Shape::Objects(fields) => {
                let elements = self.elements(name, node)?;
                let checked: Vec<Option<Value>> =
                    elements.iter().map(|element| self.element(name, element, fields)).collect();
                checked.into_iter().collect::<Option<Vec<Value>>>().map(Value::Array)
            }
        }
    }

    fn checked(
        &mut self,
        name: &str,
        node: &Node<'_>,
        expected: &str,
        check: fn(&Value) -> Result<(), String>,
    ) -> Option<Value> {
        let value = document::value(node);
        let Err(error) = check(&value) else { return Some(value) };
        self.find(node.range(), format!("{name} is not valid: {error}"), expected);
        None
    }

    fn elements<'n, 'a>(&mut self, name: &str, node: &'n Node<'a>) -> Option<&'n [Node<'a>]> {
        if let Node::Array(array) = node {
            return Some(&array.elements);
        }
        self.find(node.range(), format!("{name} is not a list"), "write it as [ ... ]");
        None
    }

    fn element(&mut self, name: &str, node: &Node<'_>, fields: &'static [Field]) -> Option<Value> {
        let Node::Object(object) = node else {
            self.find(
                node.range(),
                format!("{name} holds a value that is not an object"),
                "write { ... }",
            );
            return None;
        };
        let (values, faulty) = self.object(object, fields);
        faulty.is_empty().then_some(Value::Object(values))
    }

    /// Reads a credential from the settings or from the file that they name.
    fn credential(&mut self, name: &str, node: &Node<'_>) -> Option<Value> {
        let text = match document::value(node) {
            Value::String(text) => text,
            Value::Object(map)
                if map.len() == 1 && map.get("file").is_some_and(Value::is_string) =>
            {
                let file = map.get("file").and_then(Value::as_str).unwrap_or_default();
                match (self.read)(Path::new(file)) {
                    Ok(text) => text.trim().to_owned(),
                    Err(error) => {
                        let text = format!("{name}: cannot read {file}: {error}");
                        self.find(node.range(), text, "name a file that this user may read");
                        return None;
                    }
                }
            }
            _ => {
                let hint = "write a text, or { \"file\": \"path\" }";
                self.find(node.range(), format!("{name} is not a credential"), hint);
                return None;
            }
        };
        if !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic()) {
            return Some(Value::String(text));
        }
        let text = format!("{name} is empty or has characters that a header cannot carry");
        self.find(node.range(), text, "use printable ASCII without spaces");
        None
    }
}

/// Fills fields that are missing or faulty, so that the rules between the others can be checked.
fn with_defaults(values: Map<String, Value>) -> Map<String, Value> {
    let host = "host".parse().expect("the id is valid");
    let zone = "zone".parse().expect("the id is valid");
    let defaults = serde_json::to_value(Settings::loopback(host, zone));
    let Ok(Value::Object(mut filled)) = defaults else { unreachable!("settings are an object") };
    filled.extend(values);
    filled
}

fn unknown_hint(near: Option<&str>) -> String {
    match near {
        Some(near) => format!("did you mean {near:?}?"),
        None => "remove it; `catkinlatch settings example` shows the fields".to_owned(),
    }
}

fn lower(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |first| first.to_lowercase().chain(chars).collect())
}
