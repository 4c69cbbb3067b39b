//! The replicated control log, as a state machine without I/O.
