//! What clients, caches and time do to the front.

use doorgrade::Ticks;
use doorgrade_front::conn::ConnId;
use doorgrade_front::fastcgi;
use doorgrade_front::reducer::{Input, Made};

use super::*;

impl World {
    pub fn client(&mut self) -> ConnId {
        let conn = self.next_client;
        self.next_client += 1;
        self.conns.insert(conn, Conn { up: true, ..Conn::default() });
        self.input(Input::Accepted(conn));
        conn
    }

    /// A client writes a request; it is delivered in pieces.
    pub fn ask(&mut self, conn: ConnId, id: u16, call: u64, class: usize, key: u64, wait_ms: u64) {
        let body = if class == 2 { vec![7; self.rng.usize(..48_000)] } else { Vec::new() };
        let mut fields = access(call, key, wait_ms);
        fields.extend(mark(class, call).map(|m| ("Req-Token", m)));
        let padding = self.rng.u8(..9);
        let bytes = request(id, &format!("/do/{}", CLASSES[class]), &fields, &body, padding);
        let (until, pushes) = (self.now + wait_ms * 10, Vec::new());
        let (aborted, answer, first) = (false, None, None);
        let taken = Taken { client: conn, id, class, key, until, aborted, answer, pushes, first };
        self.taken.insert(call, taken);
        self.owe(conn, &bytes);
    }

    pub fn abort(&mut self, call: u64) {
        let Some(t) = self.taken.get_mut(&call).filter(|t| t.answer.is_none() && !t.aborted) else { return };
        t.aborted = true;
        let (conn, id) = (t.client, t.id);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.outputs.remove(&id);
        }
        self.owe(conn, &record(fastcgi::ABORT_REQUEST, id, &[], 0));
    }

    /// Sends bytes that no access goes with; the status that comes back at once.
    pub fn stray(&mut self, conn: ConnId, bytes: &[u8]) -> Option<u16> {
        let open: Vec<_> = self.open_calls();
        self.taken.values_mut().for_each(|t| t.aborted |= t.client == conn && t.answer.is_none());
        self.owe(conn, bytes);
        open.iter().for_each(|call| self.taken.get_mut(call).expect("it was open").aborted = false);
        self.strays.pop()
    }

    pub fn set_back(&mut self, by: Ticks) {
        self.back += by;
        self.reducer.set_wall(self.now, self.now - self.back);
    }

    pub fn answer_of(&self, call: u64) -> Option<&Answer> {
        self.taken.get(&call)?.answer.as_ref()
    }

    pub fn pushes_of(&self, call: u64) -> usize {
        self.taken[&call].pushes.len()
    }

    /// Bytes for the front, which reads them when it will, in pieces of any size.
    pub fn owe(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.owed.extend_from_slice(bytes);
            self.deliver(conn);
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if let Some(conn) = self.to_port(9092) {
            self.owe(conn, bytes);
        }
    }

    pub fn to_port(&self, port: u16) -> Option<ConnId> {
        self.conns.iter().find(|(_, c)| c.to == Some(port) && c.up).map(|(&conn, _)| conn)
    }

    pub fn end(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.ended = true;
            self.deliver(conn);
        }
    }

    pub fn to(&self, conn: ConnId) -> u16 {
        self.conns[&conn].to.unwrap_or(0)
    }

    /// A connection can't even be tried.
    pub fn fail(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.input(Input::Connected(conn, Made::NoMeans));
    }

    /// What the front wrote that nobody has read.
    pub fn written(&self, conn: ConnId) -> &[u8] {
        &self.conns[&conn].got
    }

    pub fn clients(&self) -> usize {
        self.conns.values().filter(|c| c.to.is_none()).count()
    }

    /// The connections on which a cache has a request to answer.
    pub fn working(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.busy.is_some()).map(|(&conn, _)| conn).collect()
    }

    pub fn connecting(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.to.is_some() && !c.up).map(|(&conn, _)| conn).collect()
    }

    pub fn connected(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.up = !self.down.contains(&c.to.unwrap_or(0));
        let up = c.up;
        if !up {
            self.conns.remove(&conn);
        }
        self.input(Input::Connected(conn, if up { Made::Up } else { Made::Refused }));
    }

    /// A cache answers; 200 with the object.
    pub fn reply(&mut self, conn: ConnId, status: u16, marked: bool, detail: &str) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Some((call, push)) = c.busy.take() else { return };
        let t = self.taken.get_mut(&call).expect("it was asked for");
        t.pushes[push] = status == 404 || marked && matches!(status, 503 | 504 | 508);
        let body = if status == 200 && t.class != 2 { object(t.key) } else { Vec::new() };
        let mark = if marked { "Not-Begun: 1\r\n" } else { "" };
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\n{mark}Detail: {detail}\r\nTag: aa\r\nMade-At: {}\r\nContent-Length: {}\r\n\r\n",
            self.made_at.clone().unwrap_or_else(|| (self.now / 10).to_string()),
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        self.owe(conn, &bytes);
    }

    /// A cache refuses with a head alone, then text until the connection ends.
    pub fn refuse_bare(&mut self, conn: ConnId) {
        let Some((call, push)) = self.conns.get_mut(&conn).and_then(|c| c.busy.take()) else { return };
        self.taken.get_mut(&call).expect("it was asked for").pushes[push] = true;
        self.owe(conn, b"HTTP/1.1 503 Busy\r\nNot-Begun: 1\r\n\r\ncome back later");
    }

    /// Word has come that a cache has just started.
    pub fn restarted(&mut self, port: u16) {
        self.started.insert(port, self.now);
        self.came.remove(&port);
    }

    pub fn purge(&mut self, number: u64, key: Option<u64>, group: u64) {
        let at = (self.now - 500 - self.back) / 10;
        self.purges.push((key, group, at * 10 + self.back, self.now));
        let (kind, mut payload) = match key {
            Some(key) => (3, key.to_be_bytes().to_vec()),
            None => (4, (group as u16).to_be_bytes().to_vec()),
        };
        payload.extend(at.to_be_bytes());
        self.feed(&frame(number, kind, &payload));
    }

    /// Time passes; timers come due, connections come up, and no access may be overdue.
    pub fn pass(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            let next = self.reducer.next_tick().unwrap_or(end).clamp(self.now + 1, end);
            self.now = next.min(self.now + 50);
            self.input(Input::Tick);
            for t in self.taken.values() {
                let reads = !t.aborted && !self.stuck.contains(&t.client);
                let fine = !reads || t.answer.is_some() || self.now <= t.until + SLACK;
                assert!(fine, "rule 1: no final answer in time");
            }
        }
    }

    pub fn open_calls(&self) -> Vec<u64> {
        self.taken.iter().filter(|(_, t)| !t.aborted && t.answer.is_none()).map(|(&call, _)| call).collect()
    }

    /// All connections come up and all requests are answered at once.
    pub fn serve(&mut self) {
        loop {
            let (connecting, working) = (self.connecting(), self.working());
            if connecting.is_empty() && working.is_empty() {
                return;
            }
            connecting.into_iter().for_each(|conn| self.connected(conn));
            working.into_iter().for_each(|conn| self.reply(conn, 200, false, "h"));
        }
    }
}
