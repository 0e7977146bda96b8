//! The parts of a prompt that guide placement.

use crate::fingerprint::Fingerprint;
use crate::gateway::attempt::headers::parse_prompt_parts;

/// What placement needs to know about a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The ids of the parts that other requests share, from the beginning of the prompt.
    pub shared_parts: Vec<String>,
    /// The number of tokens of these parts.
    pub shared_tokens: u64,
    /// The number of tokens of the whole prompt.
    pub tokens: u64,
}

/// The prompt length at which attention, which grows with the square of the length, takes as long
/// as the rest of the prefill; fits the first events of prompts of 20,000 to 45,000 tokens.
const ATTENTION_PARITY_TOKENS: f64 = 100_000.0;

impl Prompt {
    /// Returns the number of tokens weighted by their prefill time: in a long prompt, each token
    /// takes longer.
    pub fn weighted_tokens(&self) -> f64 {
        let tokens = self.tokens as f64;
        tokens * (1.0 + tokens / ATTENTION_PARITY_TOKENS)
    }

    /// Returns the fingerprints of the shared parts, for a service.
    pub fn part_fingerprints(&self, service: &str) -> Vec<Fingerprint> {
        let parts = self.shared_parts.iter();
        parts.map(|id| Fingerprint::of_part(service, id)).collect()
    }

    /// Returns the id of the last shared part, which names the shared prefix.
    pub fn last_shared_part(&self) -> Option<&str> {
        self.shared_parts.last().map(String::as_str)
    }

    /// Parses the header that lists a prompt's parts; the last part belongs to this request alone.
    pub fn parse(parts: Option<&str>) -> Self {
        let parts = parse_prompt_parts(parts.unwrap_or_default());
        let tokens = parts.iter().map(|part| part.tokens).sum();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        Self {
            shared_parts: shared.iter().map(|part| part.id.clone()).collect(),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            tokens,
        }
    }
}
