//! Prefix cache of a stand-in engine, in limited memory.

use std::collections::VecDeque;

/// Prompts that fit; the least recently used one is dropped first.
const CAPACITY: usize = 256;

/// Recently prefilled prompts.
#[derive(Debug, Default)]
pub struct Cache {
    prompts: VecDeque<Box<[u8]>>,
}

impl Cache {
    /// Bytes of `prompt` beyond the longest cached prefix. The prompt is cached from now on.
    pub fn missing_bytes(&mut self, prompt: &str) -> usize {
        let shared = |cached: &[u8]| {
            cached.iter().zip(prompt.as_bytes()).take_while(|(left, right)| left == right).count()
        };
        let best = self.prompts.iter().enumerate().map(|(at, cached)| (shared(cached), at)).max();
        if let Some((length, at)) = best
            && length == prompt.len()
        {
            let used = self.prompts.remove(at);
            self.prompts.extend(used);
            return 0;
        }
        if self.prompts.len() >= CAPACITY {
            self.prompts.pop_front();
        }
        self.prompts.push_back(prompt.as_bytes().into());
        prompt.len() - best.map_or(0, |(length, _)| length)
    }
}
