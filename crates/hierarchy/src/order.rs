//! A topological order that is updated edge by edge (Pearce and Kelly, "A dynamic topological sort algorithm for
//! directed acyclic graphs", 2006), over the members of one tier. An edge that agrees with the order costs one
//! comparison. One that does not costs a search of the nodes between its ends in the order, and of no others.

use arrayvec::ArrayVec;

/// Limit of the sources of one member.
pub const MAX_SOURCES: usize = 8;

#[derive(Default)]
struct Node {
    /// A node's position is greater than those of its sources.
    position: u64,
    sources: ArrayVec<u32, MAX_SOURCES>,
    dependents: Vec<u32>,
    /// The number of the last search that visited this node.
    visited_by: u64,
}

#[derive(Default)]
pub struct TopologicalOrder {
    nodes: Vec<Node>,
    last_position: u64,
    search_count: u64,
    /// Buffers for the searches of one edge, kept so that a search does not allocate.
    upstream: Vec<u32>,
    downstream: Vec<u32>,
    positions: Vec<u64>,
    /// Nodes visited by all searches so far: the cost of the cycle checks.
    pub nodes_visited: u64,
}

impl TopologicalOrder {
    /// Puts a node at the end of the order, without edges.
    pub fn add_node(&mut self, node: u32) {
        if self.nodes.len() <= node as usize {
            self.nodes.resize_with(node as usize + 1, Node::default);
        }
        self.last_position += 1;
        self.nodes[node as usize] = Node { position: self.last_position, ..Node::default() };
    }

    /// Removes all edges from a node to its sources. The order stays valid.
    pub fn remove_sources(&mut self, node: u32) {
        for source in std::mem::take(&mut self.nodes[node as usize].sources) {
            let dependents = &mut self.nodes[source as usize].dependents;
            if let Some(index) = dependents.iter().position(|&d| d == node) {
                dependents.swap_remove(index);
            }
        }
    }

    /// Adds an edge from a node to a source; fails and adds nothing if it would close a cycle.
    pub fn add_edge(&mut self, node: u32, source: u32) -> Result<(), CycleError> {
        if node == source || !self.reorder(node, source) {
            return Err(CycleError);
        }
        self.nodes[node as usize].sources.push(source);
        self.nodes[source as usize].dependents.push(node);
        Ok(())
    }

    /// Moves nodes so that the source comes before the node; false if the source depends on the node.
    fn reorder(&mut self, node: u32, source: u32) -> bool {
        let (first, last) = (self.nodes[node as usize].position, self.nodes[source as usize].position);
        if last < first {
            return true;
        }
        // Everything upstream of the source that is now behind the node has to move before it.
        let (mut up, mut down) = (std::mem::take(&mut self.upstream), std::mem::take(&mut self.downstream));
        let acyclic = self.search(&mut up, source, Some(node), |n| (&n.sources[..], n.position > first));
        if acyclic {
            self.search(&mut down, node, None, |n| (&n.dependents[..], n.position < last));
            up.sort_unstable_by_key(|&n| self.nodes[n as usize].position);
            down.sort_unstable_by_key(|&n| self.nodes[n as usize].position);
            let moved = || up.iter().chain(&down);
            self.positions.clear();
            self.positions.extend(moved().map(|&n| self.nodes[n as usize].position));
            self.positions.sort_unstable();
            for (&node, &position) in moved().zip(&self.positions) {
                self.nodes[node as usize].position = position;
            }
        }
        (self.upstream, self.downstream) = (up, down);
        acyclic
    }

    /// Collects the nodes reachable from `start`; false if `forbidden` is one of them. `expand` gives the edges of
    /// a node that the search follows, and whether the node is within the search's bounds.
    fn search(
        &mut self,
        found: &mut Vec<u32>,
        start: u32,
        forbidden: Option<u32>,
        expand: impl Fn(&Node) -> (&[u32], bool),
    ) -> bool {
        self.search_count += 1;
        found.clear();
        found.push(start);
        self.nodes[start as usize].visited_by = self.search_count;
        let mut index = 0;
        while let Some(&node) = found.get(index) {
            index += 1;
            self.nodes_visited += 1;
            let edge_count = expand(&self.nodes[node as usize]).0.len();
            for n in 0..edge_count {
                let next = expand(&self.nodes[node as usize]).0[n];
                if Some(next) == forbidden {
                    return false;
                }
                let next_node = &self.nodes[next as usize];
                if next_node.visited_by != self.search_count && expand(next_node).1 {
                    self.nodes[next as usize].visited_by = self.search_count;
                    found.push(next);
                }
            }
        }
        true
    }
}

/// The edge would close a cycle.
#[derive(Debug, PartialEq, Eq)]
pub struct CycleError;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn random_edges_keep_the_order_and_only_cycles_are_rejected() {
        let mut rng = fastrand::Rng::with_seed(5);
        for _ in 0..200 {
            let count = rng.u32(2..24);
            let (mut order, mut edges) = (TopologicalOrder::default(), Vec::new());
            (0..count).for_each(|n| order.add_node(n));
            for _ in 0..80 {
                let (node, source) = (rng.u32(0..count), rng.u32(0..count));
                if rng.u8(0..5) == 0 {
                    order.remove_sources(node);
                    edges.retain(|e: &(u32, u32)| e.0 != node);
                } else if order.nodes[node as usize].sources.len() < MAX_SOURCES {
                    let reaches_node = |start: u32| {
                        let (mut visited, mut stack) = (vec![start], vec![start]);
                        while let Some(n) = stack.pop() {
                            let next = edges.iter().filter(|e| e.0 == n && !visited.contains(&e.1));
                            let next: Vec<_> = next.map(|e| e.1).collect();
                            visited.extend(&next);
                            stack.extend(next);
                        }
                        visited.contains(&node)
                    };
                    assert_eq!(order.add_edge(node, source).is_err(), reaches_node(source));
                    if !reaches_node(source) {
                        edges.push((node, source));
                    }
                }
                let position = |n: u32| order.nodes[n as usize].position;
                assert!(edges.iter().all(|&(n, s)| position(s) < position(n)));
            }
        }
    }
}
