//! temporary
