//! What daemons conclude from the rows that the table gives them.

mod asks;
mod jobs;
mod settings;
