//! A body that grows without being copied to larger and larger buffers.

/// Size of a segment in bytes.
const SEGMENT_BYTES: usize = 64 << 10;

/// The parts of a body in segments of equal size.
///
/// One buffer that grows would leave holes in the heap, and copies of itself in memory while it is
/// moved: 40 bodies that shared 30 MB took 70 to 80 MB.
#[derive(Debug, Default)]
pub struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl Segments {
    /// Appends a part of the body.
    pub fn push(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let (now, later) = part.split_at(part.len().min(SEGMENT_BYTES - self.last.len()));
            if self.last.capacity() - self.last.len() < now.len() {
                // A body beyond its first few parts fills its segments.
                let needed = self.last.len() + now.len();
                let is_short = self.full.is_empty() && self.last.is_empty();
                let size = if is_short { needed } else { SEGMENT_BYTES };
                self.last.reserve_exact(size - self.last.len());
            }
            self.last.extend_from_slice(now);
            part = later;
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
        }
    }

    /// Returns the number of bytes of the body.
    pub fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Returns the whole body in one buffer. Each segment is freed once it has been copied.
    pub fn join(mut self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut whole = Vec::with_capacity(self.len());
        for segment in self.full.drain(..) {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&self.last);
        whole
    }
}
