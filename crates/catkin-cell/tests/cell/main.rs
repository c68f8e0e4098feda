//! Tests of the owner of a cell.
