//! Prints the tables of `docs/CAPACITY.md` from unit costs measured on this machine.

use catkinlatch_standin::capacity::{Table, UnitCosts};
use std::io::{self, Write};

fn main() -> io::Result<()> {
    let table = Table::new(UnitCosts::measure()?);
    write!(io::stdout(), "{table}")
}
