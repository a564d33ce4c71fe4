//! A topological order kept up to date edge by edge (Pearce and Kelly, "A dynamic topological sort algorithm
//! for directed acyclic graphs", 2006), over members of one tier. An edge that agrees with the order costs one
//! comparison; one that does not, a search of the part between its ends in the order, and nothing outside it.

use arrayvec::ArrayVec;

pub const MOST_SOURCES: usize = 8;

#[derive(Default)]
struct Node {
    /// Smaller is nearer to the sources: whoever fills from another stands behind it.
    place: u64,
    above: ArrayVec<u32, MOST_SOURCES>,
    below: Vec<u32>,
    /// The search that came here last.
    seen: u64,
}

#[derive(Default)]
pub struct Order {
    nodes: Vec<Node>,
    next: u64,
    searches: u64,
    /// What the searches of one edge find, kept so that none allocates.
    up: Vec<u32>,
    down: Vec<u32>,
    places: Vec<u64>,
    /// Nodes looked at by searches since the start: what the checks cost.
    pub looked: u64,
}

impl Order {
    /// Makes a node stand at the end of the order, without edges.
    pub fn open(&mut self, node: u32) {
        if self.nodes.len() <= node as usize {
            self.nodes.resize_with(node as usize + 1, Node::default);
        }
        self.next += 1;
        self.nodes[node as usize] = Node { place: self.next, ..Node::default() };
    }

    /// Takes all edges from a node to its sources away; the order stays good.
    pub fn cut(&mut self, node: u32) {
        for above in std::mem::take(&mut self.nodes[node as usize].above) {
            let below = &mut self.nodes[above as usize].below;
            if let Some(at) = below.iter().position(|&b| b == node) {
                below.swap_remove(at);
            }
        }
    }

    /// Adds an edge from a node to a source, or says that it would close a loop and adds nothing.
    pub fn add(&mut self, node: u32, source: u32) -> Result<(), Loop> {
        if node == source || !self.reorder(node, source) {
            return Err(Loop);
        }
        self.nodes[node as usize].above.push(source);
        self.nodes[source as usize].below.push(node);
        Ok(())
    }

    fn reorder(&mut self, node: u32, source: u32) -> bool {
        let (first, last) = (self.nodes[node as usize].place, self.nodes[source as usize].place);
        if last < first {
            return true;
        }
        // What the source stands on, as far as it is behind the node, must come before it.
        let (mut up, mut down) = (std::mem::take(&mut self.up), std::mem::take(&mut self.down));
        let sound = self.search(&mut up, source, Some(node), |n| (&n.above[..], n.place > first));
        if sound {
            self.search(&mut down, node, None, |n| (&n.below[..], n.place < last));
            up.sort_unstable_by_key(|&n| self.nodes[n as usize].place);
            down.sort_unstable_by_key(|&n| self.nodes[n as usize].place);
            let moved = || up.iter().chain(&down);
            self.places.clear();
            self.places.extend(moved().map(|&n| self.nodes[n as usize].place));
            self.places.sort_unstable();
            for (&node, &place) in moved().zip(&self.places) {
                self.nodes[node as usize].place = place;
            }
        }
        (self.up, self.down) = (up, down);
        sound
    }

    /// All that is reached from a node within bounds; false if that is the node not to be reached.
    fn search(
        &mut self,
        found: &mut Vec<u32>,
        from: u32,
        but: Option<u32>,
        go: impl Fn(&Node) -> (&[u32], bool),
    ) -> bool {
        self.searches += 1;
        found.clear();
        found.push(from);
        self.nodes[from as usize].seen = self.searches;
        let mut at = 0;
        while let Some(&node) = found.get(at) {
            at += 1;
            self.looked += 1;
            let count = go(&self.nodes[node as usize]).0.len();
            for n in 0..count {
                let next = go(&self.nodes[node as usize]).0[n];
                if Some(next) == but {
                    return false;
                }
                let there = &self.nodes[next as usize];
                if there.seen != self.searches && go(there).1 {
                    self.nodes[next as usize].seen = self.searches;
                    found.push(next);
                }
            }
        }
        true
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct Loop;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn random_edges_keep_the_order_and_only_loops_are_refused() {
        let mut rng = fastrand::Rng::with_seed(5);
        for _ in 0..200 {
            let count = rng.u32(2..24);
            let (mut order, mut edges) = (Order::default(), Vec::new());
            (0..count).for_each(|n| order.open(n));
            for _ in 0..80 {
                let (node, source) = (rng.u32(0..count), rng.u32(0..count));
                if rng.u8(0..5) == 0 {
                    order.cut(node);
                    edges.retain(|e: &(u32, u32)| e.0 != node);
                } else if order.nodes[node as usize].above.len() < MOST_SOURCES {
                    let reaches = |from: u32| {
                        let (mut seen, mut stack) = (vec![from], vec![from]);
                        while let Some(n) = stack.pop() {
                            let next = edges.iter().filter(|e| e.0 == n && !seen.contains(&e.1));
                            let next: Vec<_> = next.map(|e| e.1).collect();
                            seen.extend(&next);
                            stack.extend(next);
                        }
                        seen.contains(&node)
                    };
                    assert_eq!(order.add(node, source).is_err(), reaches(source));
                    if !reaches(source) {
                        edges.push((node, source));
                    }
                }
                let place = |n: u32| order.nodes[n as usize].place;
                assert!(edges.iter().all(|&(n, s)| place(s) < place(n)));
            }
        }
    }
}
