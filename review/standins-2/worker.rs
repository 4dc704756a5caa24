//! Stand-in for a worker: it runs tasks under a lease, lists their ends, and sends heartbeats to the agent on its machine.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, Switch};
use crate::json::Json;
use crate::record::Record;

/// Longest lease that a worker grants, and the time that a stop takes, both in milliseconds.
const HOLD_MAX: u64 = 1_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// What the clock of a worker shows at its start.
const CLOCK_START: u64 = 100_000;

struct Run {
    number: u32,
    cpu: u64,
    ends_at: Instant,
    begun_at: Instant,
}

struct State {
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    highest: HashMap<String, u32>,
    fence: u64,
    lease_end: u64,
    /// Start of the current lifetime, in Unix milliseconds and on the steady clock.
    born: u64,
    started_at: Instant,
    /// Number of heartbeats in this lifetime.
    sequence: u64,
    /// Whether the next start gets no answer and is carried out later; then that start.
    holds_next_start: bool,
    held_start: Option<HeldStart>,
}

/// A start that is still on its way.
#[derive(Clone)]
pub struct HeldStart {
    task: String,
    number: u32,
    token: u64,
    expires_at: u64,
    spec: String,
    pub sent_at: Instant,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    address: SocketAddr,
    agent: SocketAddr,
    zone: String,
    service: String,
    cpu: u64,
    switch: Switch,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Worker {
    pub fn new(name: &str, address: SocketAddr, agent: SocketAddr, zone: &str, service: &str, record: &Record) -> Self {
        let state = State {
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: HashMap::new(),
            fence: 0,
            lease_end: 0,
            born: unix_millis(),
            started_at: Instant::now(),
            sequence: 0,
            holds_next_start: false,
            held_start: None,
        };
        Self {
            name: name.to_owned(),
            address,
            agent,
            zone: zone.to_owned(),
            service: service.to_owned(),
            cpu: 32_000,
            switch: Switch::new(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        }
    }

    pub fn start(&self) -> std::io::Result<()> {
        let worker = self.clone();
        http::serve_switched(self.address, self.switch.clone(), move |request| worker.handle(request))?;
        let worker = self.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(1));
            worker.advance();
        });
        let worker = self.clone();
        std::thread::spawn(move || worker.send_heartbeats());
        Ok(())
    }

    /// Makes the next start get no answer. It is carried out when [`Self::deliver`] is called.
    pub fn hold_next_start(&self) {
        self.state.0.lock().unwrap().holds_next_start = true;
    }

    /// Takes back [`Self::hold_next_start`].
    pub fn release_next_start(&self) {
        self.state.0.lock().unwrap().holds_next_start = false;
    }

    /// Returns the start that is still on its way.
    pub fn held_start(&self) -> Option<HeldStart> {
        self.state.0.lock().unwrap().held_start.clone()
    }

    /// Crashes the worker with all that it runs.
    pub fn crash(&self) {
        self.record.line(format!("worker={} crashed", self.name));
        self.switch.down();
        let mut state = self.state.0.lock().unwrap();
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        tasks.iter().for_each(|task| self.end(&mut state, task, "crashed"));
        state.ended.clear();
        self.state.1.notify_all();
    }

    /// Starts the worker again under the same name: it holds and knows nothing of before, and its counts and its clock start anew.
    pub fn restart(&self) {
        {
            let mut state = self.state.0.lock().unwrap();
            state.highest.clear();
            (state.last_end, state.fence, state.lease_end, state.sequence) = (0, 0, 0, 0);
            (state.born, state.started_at) = (unix_millis(), Instant::now());
        }
        self.record.line(format!("worker={} started again", self.name));
        self.switch.up();
    }

    /// Carries out the start that is still on its way.
    pub fn deliver(&self) -> Option<u16> {
        let mut state = self.state.0.lock().unwrap();
        let HeldStart { task, number, token, expires_at, spec, sent_at } = state.held_start.take()?;
        let (status, body) = if token < state.fence {
            (409, self.reason(&state, "fence"))
        } else {
            state.fence = token;
            self.start_run(&mut state, &task, number, expires_at, &spec)
        };
        let late = sent_at.elapsed().as_millis();
        self.record.line(format!("worker={} carried out the start of {task} run={number} {late} ms late: {status} {body}", self.name));
        Some(status)
    }

    fn send_heartbeats(&self) {
        loop {
            if !self.switch.is_up() {
                while !self.switch.is_up() {
                    std::thread::sleep(Duration::from_millis(5));
                }
                // A worker that has started again sends its first heartbeat within the usual interval.
                std::thread::sleep(HEARTBEAT_INTERVAL / 2);
            }
            let (sequence, born, clock) = {
                let mut state = self.state.0.lock().unwrap();
                state.sequence += 1;
                (state.sequence, state.born, clock_of(&state))
            };
            let capacity = Json::object(vec![("cpu", Json::number(self.cpu)), ("mem_mb", Json::number(131_072)), ("gpu", Json::number(0))]);
            let body = Json::object(vec![
                ("service", Json::text(&self.service)),
                ("address", Json::text(self.address.to_string())),
                ("zone", Json::text(&self.zone)),
                ("version", Json::text("v1")),
                ("slots", Json::number(8)),
                ("state", Json::text("ready")),
                ("cold_remaining_ms", Json::number(0)),
                ("capacity", capacity),
                ("labels", Json::List(vec![Json::text("a"), Json::text("r1-1")])),
                ("clock_ms", Json::number(clock)),
                ("seq", Json::number(sequence)),
                ("born", Json::number(born)),
            ]);
            let path = format!("/v1/instances/{}", self.name);
            let answer = http::call(self.agent, "PUT", &path, &[], &body.write(), Duration::from_secs(1));
            let is_taken = answer.is_ok_and(|(status, _)| status == 200);
            std::thread::sleep(if is_taken { HEARTBEAT_INTERVAL } else { Duration::from_millis(200) });
        }
    }

    /// Ends the runs whose work is done, and all runs once the lease has ended.
    fn advance(&self) {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        let (now, clock) = (Instant::now(), clock_of(&state));
        let done: Vec<String> = state.running.iter().filter(|(_, run)| run.ends_at <= now).map(|(task, _)| task.clone()).collect();
        done.iter().for_each(|task| self.end(&mut state, task, "done"));
        if clock >= state.lease_end && !state.running.is_empty() {
            let tasks: Vec<String> = state.running.keys().cloned().collect();
            tasks.iter().for_each(|task| self.end(&mut state, task, "lapsed"));
        }
        changed.notify_all();
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.running.remove(task) {
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.to_owned(), run.number, how));
            let highest = state.highest.entry(task.to_owned()).or_default();
            *highest = (*highest).max(run.number);
            self.record.run_ended(&self.name, task, run.number, how);
        }
    }

    fn handle(&self, request: Request) -> Answer {
        if request.headers.get("expect-instance").is_some_and(|name| *name != self.name) {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        if !self.switch.is_up() {
            return None;
        }
        self.advance();
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        let token = body.get("fencing_token").as_u64().unwrap_or(0);
        if token < state.fence {
            return Some((409, self.reason(&state, "fence")));
        }
        if request.path != "/v1/run-start" || !state.holds_next_start {
            state.fence = token;
        }
        let task = body.get("task").as_str().unwrap_or_default().to_owned();
        let number = body.get("run").as_u64().unwrap_or(0) as u32;
        match request.path.as_str() {
            "/v1/run-start" => {
                let expires_at = body.get("expires_at_ms").as_u64().unwrap_or(0);
                let spec = body.get("spec").as_str().unwrap_or_default().to_owned();
                if std::mem::take(&mut state.holds_next_start) {
                    self.record.line(format!("worker={} got the start of {task} run={number}, which is held up", self.name));
                    state.held_start = Some(HeldStart { task, number, token, expires_at, spec, sent_at: Instant::now() });
                    drop(state);
                    // Nobody is answered. The channel stays open until the worker crashes.
                    while self.switch.is_up() {
                        std::thread::sleep(Duration::from_millis(2));
                    }
                    return None;
                }
                Some(self.start_run(&mut state, &task, number, expires_at, &spec))
            }
            "/v1/run-stop" => {
                let is_running = state.running.get(&task).is_some_and(|run| run.number <= number);
                if is_running {
                    self.end(&mut state, &task, "stopped");
                }
                let highest = state.highest.entry(task).or_default();
                *highest = (*highest).max(number);
                changed.notify_all();
                Some((200, Json::object(vec![("clock_ms", Json::number(clock_of(&state)))]).write()))
            }
            "/v1/hold" => {
                if let Some(expires_at) = body.get("expires_at_ms").as_u64() {
                    state.lease_end = state.lease_end.max(expires_at.min(clock_of(&state) + HOLD_MAX));
                }
                let observed = body.get("observed").as_u64().unwrap_or(0);
                state.ended.retain(|(end, ..)| *end > observed);
                let deadline = Instant::now() + Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0).min(2_000));
                while state.ended.is_empty() && Instant::now() < deadline {
                    let left = deadline.saturating_duration_since(Instant::now());
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                Some((200, self.lists(&state)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn reason(&self, state: &State, reason: &str) -> String {
        Json::object(vec![("clock_ms", Json::number(clock_of(state))), ("reason", Json::text(reason))]).write()
    }

    /// The time of work stands in the spec, as `ms=NUMBER`; the processor demand as `cpu=NUMBER`.
    fn start_run(&self, state: &mut State, task: &str, number: u32, expires_at: u64, spec: &str) -> (u16, String) {
        let field = |name: &str| spec.split(' ').find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok());
        let (work, cpu) = (field("ms=").unwrap_or(100), field("cpu=").unwrap_or(0));
        if expires_at <= clock_of(&state) {
            return (409, self.reason(&state, "late"));
        }
        if state.running.get(task).is_some_and(|run| run.number == number) {
            return (200, Json::object(vec![("clock_ms", Json::number(clock_of(&state)))]).write());
        }
        state.lease_end = state.lease_end.max(expires_at.min(clock_of(&state) + HOLD_MAX));
        if state.highest.get(task).is_some_and(|highest| number <= *highest) || state.running.contains_key(task) {
            return (409, self.reason(&state, "old"));
        }
        if state.running.values().map(|run| run.cpu).sum::<u64>() + cpu > self.cpu {
            return (409, self.reason(&state, "room"));
        }
        let begun_at = Instant::now();
        let run = Run { number, cpu, begun_at, ends_at: begun_at + Duration::from_millis(work) };
        state.running.insert(task.to_owned(), run);
        self.record.run_started(&self.name, task, number, spec);
        (200, Json::object(vec![("clock_ms", Json::number(clock_of(&state)))]).write())
    }

    fn lists(&self, state: &State) -> String {
        let percent = |run: &Run| {
            let whole = run.ends_at.duration_since(run.begun_at).as_millis().max(1);
            (run.begun_at.elapsed().as_millis() * 100 / whole).min(99) as u64
        };
        let running = state.running.iter().map(|(task, run)| {
            Json::List(vec![
                Json::text(task),
                Json::number(run.number.into()),
                Json::text(""),
                Json::number(percent(run)),
                Json::number(run.cpu),
            ])
        });
        let ended = state.ended.iter().take(500).map(|(end, task, number, how)| {
            Json::List(vec![Json::number(*end), Json::text(task), Json::number((*number).into()), Json::text(*how), Json::text("")])
        });
        let fields = vec![
            ("born", Json::number(state.born)),
            ("clock_ms", Json::number(clock_of(&state))),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ];
        Json::object(fields).write()
    }
}

fn clock_of(state: &State) -> u64 {
    CLOCK_START + state.started_at.elapsed().as_millis() as u64
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
