//! How slow an engine is, as the orderer publishes it.

use crate::prelude::*;

/// The steps that slowness is published in, per unit.
const STEPS: f64 = 10.0;
/// The least slowness, in steps.
const MIN_STEPS: u8 = 2;
/// The greatest slowness, in steps.
const MAX_STEPS: u8 = 50;
/// The slowness of an engine of mean speed, in steps.
const MEAN_STEPS: u8 = 10;

/// How long an engine takes for its work, relative to the mean over the engines of its service, in
/// steps of a tenth between 0.2 and 5.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowness(u8);

impl Slowness {
    /// The slowness of an engine of mean speed, and of one whose speed is not known.
    pub const MEAN: Self = Self(MEAN_STEPS);

    /// Returns the step nearest to a ratio. A ratio that is no number counts as the mean.
    pub fn from_ratio(ratio: f64) -> Self {
        match ratio.is_nan() {
            true => Self::MEAN,
            false => Self(((ratio * STEPS).round() as u8).clamp(MIN_STEPS, MAX_STEPS)),
        }
    }

    /// Returns the factor by which work takes longer than at an engine of mean speed.
    pub fn ratio(self) -> f64 {
        f64::from(self.0.clamp(MIN_STEPS, MAX_STEPS)) / STEPS
    }
}

impl Default for Slowness {
    fn default() -> Self {
        Self::MEAN
    }
}
