//! A worker that answers quickly: it starts, stops and lists runs as the pages tell, under one lease. All of its tasks take the same time.
//!
//! Arguments: the address to listen on, the start of its life in Unix milliseconds, the time that a task takes in milliseconds, the number of
//! channels that it serves at once (further ones wait to be accepted), the number of tasks that its room holds, and a file to which it
//! writes each start and end of a run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOLD_MAX_MS: u64 = 1_000;
const FIRST_CLOCK_MS: u64 = 100_000;
const LISTED_ENDS_MAX: usize = 500;

type Run = (String, u64);

struct End {
    number: u64,
    run: Run,
    how: &'static str,
}

struct State {
    born: u64,
    work: Duration,
    started_at: Instant,
    token: u64,
    lease_end: u64,
    running: HashMap<Run, Instant>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    highest_ended: HashMap<String, u64>,
    channels: usize,
    tasks_max: usize,
    log: BufWriter<File>,
}

impl State {
    fn clock(&self) -> u64 {
        FIRST_CLOCK_MS + self.started_at.elapsed().as_millis() as u64
    }

    fn write(&mut self, event: &str, run: &Run) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let _ = writeln!(self.log, "{} {event} {} {}", now.as_micros(), run.0, run.1);
    }

    fn end(&mut self, run: Run, how: &'static str) {
        self.write(how, &run);
        self.forbid(&run);
        self.last_end += 1;
        self.ends.push(End { number: self.last_end, run, how });
    }

    fn forbid(&mut self, run: &Run) {
        let highest = self.highest_ended.entry(run.0.clone()).or_default();
        *highest = (*highest).max(run.1);
    }

    fn extend_lease(&mut self, expires: u64) {
        self.lease_end = self.lease_end.max(expires.min(self.clock() + HOLD_MAX_MS));
    }

    /// Ends the runs that are done, and all of them once the lease has ended.
    fn update(&mut self) {
        let has_lapsed = self.clock() >= self.lease_end;
        let now = Instant::now();
        let ended: Vec<Run> = self.running.iter().filter(|(_, at)| has_lapsed || now >= **at).map(|(run, _)| run.clone()).collect();
        for run in ended {
            let is_done = self.running.remove(&run).is_some_and(|at| now >= at);
            self.end(run, if is_done { "done" } else { "lapsed" });
        }
    }

    fn start(&mut self, run: Run, expires: u64) -> (u16, String) {
        let clock = self.clock();
        let refuse = |reason: &str| (409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"));
        if self.running.contains_key(&run) {
            self.extend_lease(expires);
        } else if self.highest_ended.get(&run.0).is_some_and(|highest| run.1 <= *highest) {
            self.extend_lease(expires);
            return refuse("old");
        } else if expires <= clock {
            return refuse("late");
        } else if self.running.len() >= self.tasks_max {
            self.extend_lease(expires);
            return refuse("room");
        } else {
            self.extend_lease(expires);
            self.write("start", &run);
            self.running.insert(run, Instant::now() + self.work);
        }
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn stop(&mut self, run: Run) -> (u16, String) {
        self.forbid(&run);
        if self.running.remove(&run).is_some() {
            self.end(run, "stopped");
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn list(&self) -> String {
        let percent = |at: &Instant| {
            let left = at.saturating_duration_since(Instant::now()).as_millis() * 100 / self.work.as_millis().max(1);
            100_u128.saturating_sub(left).min(99)
        };
        let running: Vec<String> =
            self.running.iter().map(|(run, at)| format!("[\"{}\",{},\"\",{}]", run.0, run.1, percent(at))).collect();
        let ends = self.ends.iter().take(LISTED_ENDS_MAX);
        let ended: Vec<String> =
            ends.map(|end| format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.run.0, end.run.1, end.how)).collect();
        let (clock, born) = (self.clock(), self.born);
        format!("{{\"clock_ms\":{clock},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}", running.join(","), ended.join(","))
    }
}

fn number_in(body: &str, name: &str) -> Option<u64> {
    let begin = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = body[begin..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn text_in(body: &str, name: &str) -> Option<String> {
    let begin = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
    body[begin..].split('"').next().map(str::to_owned)
}

fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0; 8_192];
    let head_end = loop {
        if let Some(at) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&received[..head_end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok()).unwrap_or(0);
    while received.len() < head_end + length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&received[head_end..head_end + length]).into_owned();
    received.drain(..head_end + length);
    Some((head, body))
}

fn answer(head: &str, body: &str, state: &Mutex<State>) -> (u16, String) {
    let token = number_in(body, "fencing_token").unwrap_or(0);
    {
        let mut state = state.lock().unwrap();
        if token < state.token {
            return (409, format!("{{\"clock_ms\":{},\"reason\":\"fence\"}}", state.clock()));
        }
        state.token = token;
        let expires = number_in(body, "expires_at_ms");
        if let (Some(task), Some(run)) = (text_in(body, "task"), number_in(body, "run")) {
            let run = (task, run);
            return if head.contains("/v1/run-start") { state.start(run, expires.unwrap_or(0)) } else { state.stop(run) };
        }
        expires.into_iter().for_each(|expires| state.extend_lease(expires));
        let observed = number_in(body, "observed").unwrap_or(0);
        state.ends.retain(|end| end.number > observed);
    }
    let until = Instant::now() + Duration::from_millis(number_in(body, "wait_ms").unwrap_or(0));
    while state.lock().unwrap().ends.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(2));
    }
    (200, state.lock().unwrap().list())
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut received) {
        let (status, text) = answer(&head, &body, state);
        let length = text.len();
        let response = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}");
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let listener = TcpListener::bind(&words[0]).expect("the address is free");
    let channels_max: usize = words[3].parse().expect("a number of channels");
    let state = State {
        born: words[1].parse().expect("a start in milliseconds"),
        work: Duration::from_millis(words[2].parse().expect("a time in milliseconds")),
        started_at: Instant::now(),
        token: 0,
        lease_end: 0,
        running: HashMap::new(),
        ends: Vec::new(),
        last_end: 0,
        highest_ended: HashMap::new(),
        channels: 0,
        tasks_max: words[4].parse().expect("a number of tasks"),
        log: BufWriter::new(File::create(&words[5]).expect("the file can be written")),
    };
    let state = Arc::new(Mutex::new(state));
    let updated = state.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(3));
        let mut state = updated.lock().unwrap();
        state.update();
        let _ = state.log.flush();
    });
    for stream in listener.incoming().flatten() {
        while state.lock().unwrap().channels >= channels_max {
            thread::sleep(Duration::from_millis(1));
        }
        state.lock().unwrap().channels += 1;
        let state = state.clone();
        thread::spawn(move || {
            serve(stream, &state);
            state.lock().unwrap().channels -= 1;
        });
    }
}
