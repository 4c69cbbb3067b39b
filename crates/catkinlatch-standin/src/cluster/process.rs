//! One process of the real program.

use std::{
    fs::File,
    io,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// One process of the real program, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    subcommand: &'static str,
    child: Option<Child>,
}

impl Process {
    /// Creates a stopped process that will run the program's `serve` command with a settings file.
    pub fn new(program: PathBuf, settings: PathBuf) -> Self {
        Self { program, settings, subcommand: "serve", child: None }
    }

    /// Selects another subcommand that takes `--settings`.
    pub fn with_subcommand(mut self, subcommand: &'static str) -> Self {
        self.subcommand = subcommand;
        self
    }

    /// Runs another program from the next start on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Starts the process; its output is appended to [`Self::log_file`].
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let child = Command::new(&self.program)
            .args([self.subcommand, "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", "info,dropshot=warn")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with `SIGKILL` and waits for its end; does nothing if it is not running.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Sends `SIGTERM`, on which the process shuts down gracefully; does not wait for its end.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Waits for the process to end and returns its exit code; `None` if it was not running or was
    /// ended by a signal.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Lets all writes to files fail from now on, or succeed again. The process must ignore `SIGXFSZ`.
    pub fn refuse_writes(&self, refuses: bool) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let limit = if refuses { "--fsize=0:unlimited" } else { "--fsize=unlimited" };
        let id = child.id().to_string();
        let set = Command::new("prlimit").args(["--pid", &id, limit]).status()?;
        if set.success() {
            Ok(())
        } else {
            Err(io::Error::other("cannot limit the files of the process: `prlimit` failed"))
        }
    }

    /// Returns the id of the process; `None` if it is not running.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the path of the process's log, which lies beside its settings.
    pub fn log_file(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status()?;
        if sent.success() {
            Ok(())
        } else {
            Err(io::Error::other("cannot signal the process: `kill` failed"))
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("standin: cannot kill a process: {error}");
        }
    }
}
