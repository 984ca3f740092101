//! Weights of one observation in the exponentially weighted moving averages (EWMA).

/// Weight of one observation in an EWMA over the answers of one server.
pub(super) const GAIN: f64 = 0.2;
/// `GAIN` is divided by this in an EWMA over the answers of all servers, because these come more often.
pub(super) const FLEET_DAMPING: f64 = 4.0;
