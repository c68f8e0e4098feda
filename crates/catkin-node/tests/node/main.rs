//! What daemons conclude from the rows that the table gives them.

mod jobs;
mod settings;
