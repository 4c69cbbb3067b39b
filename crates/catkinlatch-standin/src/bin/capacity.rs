//! Prints the table of docs/CAPACITY.md from slopes measured on this machine.

use catkinlatch_standin::capacity::{Slopes, Table};
use std::io::{self, Write};

fn main() -> io::Result<()> {
    let table = Table::new(Slopes::measure()?);
    write!(io::stdout(), "{table}")
}
