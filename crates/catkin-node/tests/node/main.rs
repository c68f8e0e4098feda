//! What daemons conclude from the rows that the table gives them.

mod advice;
mod jobs;
mod settings;
