//! The actions of clients and caches, and the passing of time.

use doorgrade::Ticks;
use doorgrade_front::conn::ConnId;
use doorgrade_front::fastcgi;
use doorgrade_front::reducer::{ConnectResult, Input};

use super::*;

impl World {
    pub fn client(&mut self) -> ConnId {
        let conn = self.next_client;
        self.next_client += 1;
        self.conns.insert(conn, Conn { up: true, ..Conn::default() });
        self.input(Input::Accepted(conn, None));
        conn
    }

    /// A client sends a request; it arrives in fragments.
    pub fn send_request(
        &mut self,
        conn: ConnId,
        id: u16,
        access: u64,
        offering: usize,
        key: u64,
        wait_ms: u64,
    ) {
        let bytes = self.new_request(conn, id, access, offering, key, wait_ms);
        self.send(conn, &bytes);
    }

    /// The bytes of a request that a client is about to send.
    pub fn new_request(
        &mut self,
        conn: ConnId,
        id: u16,
        access: u64,
        offering: usize,
        key: u64,
        wait_ms: u64,
    ) -> Vec<u8> {
        let body = if offering == 2 { vec![7; self.rng.usize(..48_000)] } else { Vec::new() };
        let mut fields = access_fields(access, key, wait_ms);
        fields.extend(repeat_id(offering, access).map(|m| ("Req-Token", m)));
        let padding = self.rng.u8(..9);
        let bytes = request(id, &format!("/do/{}", OFFERINGS[offering]), &fields, &body, padding);
        let (deadline, pushes) = (self.now + wait_ms * 10, Vec::new());
        let (aborted, response, first_unproved_at) = (false, None, None);
        let tracked = TrackedAccess {
            client: conn,
            id,
            offering,
            key,
            deadline,
            aborted,
            response,
            pushes,
            first_unproved_at,
        };
        self.accesses.insert(access, tracked);
        bytes
    }

    /// The statuses of responses to requests that are not tracked.
    pub fn stray_statuses(&self) -> &[u16] {
        &self.stray_statuses
    }

    pub fn abort(&mut self, access: u64) {
        let Some(t) = self.accesses.get_mut(&access).filter(|t| t.response.is_none() && !t.aborted) else {
            return;
        };
        t.aborted = true;
        let (conn, id) = (t.client, t.id);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.outputs.remove(&id);
        }
        self.send(conn, &record(fastcgi::ABORT_REQUEST, id, &[], 0));
    }

    /// Sends bytes that belong to no tracked access. Returns the status of the immediate response, if there
    /// is one.
    pub fn send_untracked(&mut self, conn: ConnId, bytes: &[u8]) -> Option<u16> {
        let open: Vec<_> = self.open_accesses();
        self.accesses.values_mut().for_each(|t| t.aborted |= t.client == conn && t.response.is_none());
        self.send(conn, bytes);
        open.iter().for_each(|access| self.accesses.get_mut(access).expect("it was open").aborted = false);
        self.stray_statuses.pop()
    }

    pub fn set_wall_back(&mut self, by: Ticks) {
        self.clock_set_back += by;
        self.reducer.set_wall(self.now, self.now - self.clock_set_back);
    }

    pub fn response_to(&self, access: u64) -> Option<&Response> {
        self.accesses.get(&access)?.response.as_ref()
    }

    pub fn push_count(&self, access: u64) -> usize {
        self.accesses[&access].pushes.len()
    }

    /// Sends bytes to the front, which reads them in fragments of any size.
    pub fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.unread.extend_from_slice(bytes);
            self.deliver(conn);
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if let Some(conn) = self.conn_to(9092) {
            self.send(conn, bytes);
        }
    }

    pub fn conn_to(&self, port: u16) -> Option<ConnId> {
        self.conns.iter().find(|(_, c)| c.port == Some(port) && c.up).map(|(&conn, _)| conn)
    }

    pub fn close(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.ended = true;
            self.deliver(conn);
        }
    }

    /// The established connections to a port, the oldest first.
    pub fn conns_to(&self, port: u16) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.port == Some(port) && c.up).map(|(&conn, _)| conn).collect()
    }

    pub fn port_of(&self, conn: ConnId) -> u16 {
        self.conns[&conn].port.unwrap_or(0)
    }

    /// A connection was not established in its time.
    pub fn time_out_connect(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.input(Input::Connected(conn, ConnectResult::Unreachable));
    }

    /// A connection fails for lack of resources on this machine.
    pub fn fail_locally(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.input(Input::Connected(conn, ConnectResult::LocalFailure));
    }

    /// What the front has written and the peer has not read.
    pub fn unread_output(&self, conn: ConnId) -> &[u8] {
        &self.conns[&conn].received
    }

    pub fn clients(&self) -> usize {
        self.conns.values().filter(|c| c.port.is_none()).count()
    }

    /// The connections on which a cache has a request to respond to.
    pub fn busy_conns(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.serving.is_some()).map(|(&conn, _)| conn).collect()
    }

    pub fn connecting(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.port.is_some() && !c.up).map(|(&conn, _)| conn).collect()
    }

    pub fn finish_connect(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.up = !self.refusing_ports.contains(&c.port.unwrap_or(0));
        let up = c.up;
        if !up {
            self.conns.remove(&conn);
        }
        self.input(Input::Connected(
            conn,
            if up { ConnectResult::Connected } else { ConnectResult::Unreachable },
        ));
    }

    /// A cache responds, with the object if the status is 200.
    pub fn reply(&mut self, conn: ConnId, status: u16, not_begun: bool, detail: &str) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Some((access, push)) = c.serving.take() else { return };
        let t = self.accesses.get_mut(&access).expect("a tracked access");
        t.pushes[push] = status == 404 || not_begun && matches!(status, 503 | 504 | 508);
        let body = if status == 200 && t.offering != 2 { object_bytes(t.key) } else { Vec::new() };
        let not_begun_header = if not_begun { "Not-Begun: 1\r\n" } else { "" };
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\n{not_begun_header}Detail: {detail}\r\nTag: aa\r\nMade-At: {}\r\nContent-Length: {}\r\n\r\n",
            self.made_at.clone().unwrap_or_else(|| (self.now / 10).to_string()),
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        self.send(conn, &bytes);
    }

    /// A cache refuses with a head without a length, followed by text until the connection ends.
    pub fn refuse_without_length(&mut self, conn: ConnId) {
        let Some((access, push)) = self.conns.get_mut(&conn).and_then(|c| c.serving.take()) else { return };
        self.accesses.get_mut(&access).expect("a tracked access").pushes[push] = true;
        self.send(conn, b"HTTP/1.1 503 Busy\r\nNot-Begun: 1\r\n\r\ncome back later");
    }

    /// The feed has reported that a cache has just started.
    pub fn restarted(&mut self, port: u16) {
        self.started.insert(port, self.now);
        self.recent_pushes.remove(&port);
    }

    pub fn purge(&mut self, number: u64, key: Option<u64>, group: u64) {
        let at = (self.now - 500 - self.clock_set_back) / 10;
        self.purges.push((key, group, at * 10 + self.clock_set_back, self.now));
        let (kind, mut payload) = match key {
            Some(key) => (3, key.to_be_bytes().to_vec()),
            None => (4, (group as u16).to_be_bytes().to_vec()),
        };
        payload.extend(at.to_be_bytes());
        self.feed(&frame(number, kind, &payload));
    }

    /// Lets time pass: timers fire, and no access may be overdue.
    pub fn advance(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            let next = self.reducer.next_tick().unwrap_or(end).clamp(self.now + 1, end);
            self.now = next.min(self.now + 50);
            self.input(Input::Tick);
            for t in self.accesses.values() {
                let waits = !t.aborted && !self.not_reading.contains(&t.client);
                let in_time = !waits || t.response.is_some() || self.now <= t.deadline + SLACK;
                assert!(in_time, "rule 1: no final response in time");
            }
        }
    }

    pub fn open_accesses(&self) -> Vec<u64> {
        self.accesses
            .iter()
            .filter(|(_, t)| !t.aborted && t.response.is_none())
            .map(|(&access, _)| access)
            .collect()
    }

    /// Establishes all connections and responds to all requests at once.
    pub fn serve(&mut self) {
        loop {
            let (connecting, busy_conns) = (self.connecting(), self.busy_conns());
            if connecting.is_empty() && busy_conns.is_empty() {
                return;
            }
            connecting.into_iter().for_each(|conn| self.finish_connect(conn));
            busy_conns.into_iter().for_each(|conn| self.reply(conn, 200, false, "h"));
        }
    }
}
