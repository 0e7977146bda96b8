//! Which of a route's models answers, and whether a smaller model's answer will do.
//!
//! Engines say with the head of an answer how sure they are of it. As long as the caller
//! has none of the answer, it may be dropped and a larger model asked. See
//! `docs/design/platform.md` for the measurements behind the figures.

/// The least confidence, from 0 to 100, with which a smaller model's answer is passed on.
/// On calm days of both users 48 gave more than 40, 55 and 70.
pub const ENOUGH_CONFIDENCE: u32 = 48;

/// What to do with an answer that has just begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is passed on.
    PassOn,
    /// The answer is dropped, and the model at this place of the route's list asked.
    AskLarger(usize),
}

/// Returns the place of the model that is asked first.
pub fn first_model() -> usize {
    0
}

/// Judges an answer of the model at a place among `models` models.
///
/// The largest model is asked next, since those between cost most of its price and are
/// hardly better than the smallest.
pub fn judge(place: usize, models: usize, confidence: Option<u32>) -> Verdict {
    let largest = models.saturating_sub(1);
    match confidence {
        Some(confidence) if place < largest && confidence < ENOUGH_CONFIDENCE => {
            Verdict::AskLarger(largest)
        }
        _ => Verdict::PassOn,
    }
}
