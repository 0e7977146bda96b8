//! A prompt, as far as placement has to know it.

use crate::gateway::attempt::protocol::parse_prompt_parts;

/// What placement has to know of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The id of the last part that other requests share.
    pub shared: Option<String>,
    /// The tokens up to the end of that part.
    pub shared_tokens: u64,
    /// All tokens of the prompt.
    pub tokens: u64,
}

/// Prompt tokens at which the attention between a prompt's own tokens takes as long as
/// all else in reading it. First events of prompts from 20,000 to 45,000 tokens gave it.
const ATTENTION_TOKENS: f64 = 100_000.0;

impl Prompt {
    /// Returns the prompt's tokens as reading them takes time: long ones take longer.
    pub fn weighted_tokens(&self) -> f64 {
        let tokens = self.tokens as f64;
        tokens * (1.0 + tokens / ATTENTION_TOKENS)
    }

    /// Reads a prompt's parts; the last one belongs to the request alone.
    pub fn read(parts: Option<&str>) -> Self {
        let parts = parse_prompt_parts(parts.unwrap_or_default());
        let tokens = parts.iter().map(|part| part.tokens).sum();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        Self {
            shared: shared.last().map(|part| part.id.clone()),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            tokens,
        }
    }
}
