//! Frames and sessions between the processes of the system.
