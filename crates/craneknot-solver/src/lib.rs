//! Weights under capacity and cost, from what the fleet shows. Pure: no I/O, the clock is passed in, the same events give the
//! same weights.
//!
//! [`estimate`] tells from reports what each server can carry, and how surely; [`plan`] splits the work that is asked for over
//! the servers by a linear program, under capacity, placement and the price of crossings; [`tuner`] keeps both, hears what the
//! decisions hear, and says when a listed weight is to change; [`explain`] says why.

pub mod estimate;
pub mod explain;
pub mod plan;
pub mod tuner;
