//! Computes the weights of servers under capacity and cost from what is observed of the fleet. Without I/O: the clock is
//! passed in, and the same events give the same weights.
//!
//! [`estimate`] estimates the capacity of each server from reports, with its uncertainty; [`plan`] distributes the demand
//! over the servers by a linear program, under capacity, placement and the cost of traffic between zones; [`tuner`] maintains
//! both from the events of the decisions, and tells when a listed weight changes; [`explain`] explains the result.

pub mod estimate;
pub mod explain;
pub mod plan;
pub mod tuner;
