//! One process of the real program.

use std::{
    fs::File,
    io,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// One process of the real program, which is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    verb: &'static str,
    child: Option<Child>,
}

impl Process {
    /// Names the program and its settings; nothing is started yet.
    pub fn new(program: PathBuf, settings: PathBuf) -> Self {
        Self { program, settings, verb: "serve", child: None }
    }

    /// Runs another command of the program that takes settings.
    pub fn with_verb(mut self, verb: &'static str) -> Self {
        self.verb = verb;
        self
    }

    /// Starts the process; what it prints is added to a file beside its settings.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let child = Command::new(&self.program)
            .args([self.verb, "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", "info,dropshot=warn")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Asks the process to finish what it does and end.
    pub fn request_end(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Waits until the process has ended, and returns its exit code.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Stops the process in the middle of what it does.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Returns the file that holds what the process printed.
    pub fn log_file(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("standin: a process is not killed: {error}");
        }
    }
}
