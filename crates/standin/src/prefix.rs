//! Prefix cache of a stand-in engine: a bounded list of prompts in order of last use.

use std::collections::VecDeque;

/// Largest number of cached prompts; the least recently used one is evicted first.
const MAX_PROMPTS: usize = 256;

/// Recently prefilled prompts, the least recently used one first.
#[derive(Debug, Default)]
pub struct Cache {
    prompts: VecDeque<Box<[u8]>>,
}

impl Cache {
    /// Returns the number of bytes of `prompt` after its longest cached prefix, and caches the
    /// prompt.
    pub fn uncached_bytes(&mut self, prompt: &str) -> usize {
        let common_prefix = |cached: &[u8]| {
            cached.iter().zip(prompt.as_bytes()).take_while(|(left, right)| left == right).count()
        };
        let longest = self
            .prompts
            .iter()
            .enumerate()
            .map(|(index, cached)| (common_prefix(cached), index))
            .max();
        if let Some((length, index)) = longest
            && length == prompt.len()
        {
            let used = self.prompts.remove(index);
            self.prompts.extend(used);
            return 0;
        }
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.pop_front();
        }
        self.prompts.push_back(prompt.as_bytes().into());
        prompt.len() - longest.map_or(0, |(length, _)| length)
    }
}
