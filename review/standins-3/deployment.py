"""A small deployment on loopback addresses: the project's programs as processes, and stand-ins for the store, the workers and callers.

Every machine has a loopback address of its own. The settings of the processes are rendered from deploy/*.toml.in.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FAST_WORKER = os.path.join(ROOT, "target", "review-3", "worker")
PROGRAM = os.path.join(ROOT, "target", "release", "vanillacleat-site")
HOLD_MAX_MS = 1000
STOP_MS = 50
# A script runs for 120 seconds at most.
TIME_MAX_S = 110


class CannotRun(Exception):
    """The case can't run here."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now()

    def write(self, text):
        self.file.write(f"{now() - self.started:9.4f} {text}\n")
        self.file.flush()


# HTTP/1.1 ------------------------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers and the body of a message, or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def encode_response(status, body):
    data = json.dumps(body).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


async def serve_http(address, handle):
    """Serves requests at an address. `handle` returns a status and a body, or None to close the connection."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handle(method, target, headers, body)
                if answer is None:
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address[0], address[1])


class Answer:
    """How a request has ended: a complete answer (status, body, headers), or the channel's end without one."""

    def __init__(self, status=None, body=b"", headers=None, cut=None):
        self.status, self.body, self.headers, self.cut = status, body, headers or {}, cut

    def __str__(self):
        if self.status is None:
            return f"no complete answer ({self.cut})"
        return f"{self.status} {self.body.decode('utf-8', 'replace')[:120]}"


async def request(address, method, path, host, body=None, deadline_ms=None, patience=60.0):
    """Sends one request on a channel of its own and waits for its answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 5)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(cut=f"no channel: {error!r}")
    try:
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\nContent-Type: application/json\r\n"
        if deadline_ms is not None:
            head += f"Deadline-Ms: {deadline_ms}\r\n"
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        line, headers, answer = await asyncio.wait_for(read_message(reader), patience)
        return Answer(int(line.split(" ")[1]), answer, headers)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Answer(cut=type(error).__name__)
    except asyncio.TimeoutError:
        return Answer(cut="patience")
    finally:
        writer.close()


# The platform's store ------------------------------------------------------------------------------------------------------------

class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.log = []
        self.leases = {}
        self.last_lease = 7000
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.address = address
        self.server = await serve_http(address, self.handle)
        self.sweeper = asyncio.create_task(self.sweep())

    async def change(self, puts, removes):
        async with self.changed:
            self.revision += 1
            for key, value, lease in puts:
                old = self.items.get(key)
                created = old["created"] if old else self.revision
                item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
                self.items[key] = item
                self.log.append((self.revision, key, item))
            for key in removes:
                if self.items.pop(key, None):
                    self.log.append((self.revision, key, {"key": key, "revision": self.revision, "removed": True}))
            self.changed.notify_all()

    async def write(self, key, value):
        """Writes a key as the operator does. The return is the acknowledgement."""
        await self.change([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])
        self.record.write(f"operator: wrote {key} {json.dumps(value)[:300]}")

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [lease for lease, (_, end) in self.leases.items() if now() >= end]
            for lease in ended:
                del self.leases[lease]
                keys = [key for key, item in self.items.items() if item["lease"] == lease]
                if keys:
                    await self.change([], keys)

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = {}
        for part in filter(None, query.split("&")):
            name, _, value = part.partition("=")
            fields[name] = re.sub("%([0-9A-Fa-f]{2})", lambda match: chr(int(match.group(1), 16)), value.replace("+", " "))
        await asyncio.sleep(0.004)
        if path == "/v1/kv-range":
            prefix, after = fields["prefix"], fields.get("after", "")
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "current_rev": self.revision}
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/v1/kv-watch":
            return await self.watch(fields["prefix"], int(fields["after"]), int(fields["wait_ms"]) / 1000)
        if path == "/v1/kv-lease":
            ttl = max(1000, min(600_000, json.loads(body)["ttl_ms"]))
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path == "/v1/kv-txn":
            change = json.loads(body)
            for row in change.get("precondition", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item] if item else []}
            puts = [(put["key"], put["value"], put.get("lease", 0)) for put in change.get("put", [])]
            if any(lease and lease not in self.leases for _, _, lease in puts):
                return 404, {}
            await self.change(puts, change.get("remove", []))
            return 200, {"revision": self.revision}
        return 400, {}

    async def watch(self, prefix, after, wait):
        end = now() + wait
        async with self.changed:
            while True:
                events = [item for revision, key, item in self.log if revision > after and key.startswith(prefix)]
                if events or now() >= end:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass


# Workers -------------------------------------------------------------------------------------------------------------------------

class Worker:
    """One life of a worker. A task's work is the field `ms` of its spec, which is JSON."""

    def __init__(self, site, name, address, control, zone, service="desk", cpu=8000, mem_mb=8192, labels=("a", "r1-1")):
        self.site, self.name, self.address, self.control, self.zone = site, name, address, control, zone
        self.service, self.cpu, self.mem_mb, self.labels = service, cpu, mem_mb, list(labels)
        self.born = int(time.time() * 1000)
        self.clock_start = now() - 100
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest_ended = {}
        self.state = "ready"
        self.sequence = 0
        self.news = asyncio.Condition()
        self.tasks = []

    def clock(self):
        return int((now() - self.clock_start) * 1000)

    async def start(self):
        self.server = await serve_http(self.address, self.handle)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]

    async def beat(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(1.5)

    async def send_beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
        return await request(self.control, "PUT", f"/v1/instances/{self.name}", "x", body, patience=1.0)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() >= self.lease_end:
                for key in list(self.running):
                    await self.end(key, "lapsed")

    async def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.highest_ended[key[0]] = max(key[1], self.highest_ended.get(key[0], 0))
        self.site.note_end(self, key, how)
        async with self.news:
            self.news.notify_all()

    async def work(self, key, seconds):
        await asyncio.sleep(seconds)
        asyncio.create_task(self.end(key, "done"))

    def extend(self, expires):
        self.lease_end = max(self.lease_end, min(expires, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        token = order.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/v1/run-start":
            return self.start_run(order)
        if target == "/v1/run-stop":
            return self.stop_run(order)
        if target == "/v1/hold":
            return await self.hold(order)
        return 400, {}

    def start_run(self, order):
        key, clock = (order["task"], order["run"]), self.clock()
        if key in self.running:
            self.extend(order["expires_at_ms"])
            return 200, {"clock_ms": clock}
        if order["run"] <= self.highest_ended.get(order["task"], 0):
            self.extend(order["expires_at_ms"])
            return 409, {"clock_ms": clock, "reason": "old"}
        if order["expires_at_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        spec = json.loads(order["spec"])
        used = sum(run["cpu"] for run in self.running.values())
        if used + spec["cpu"] > self.cpu:
            self.extend(order["expires_at_ms"])
            return 409, {"clock_ms": clock, "reason": "room"}
        self.extend(order["expires_at_ms"])
        timer = asyncio.create_task(self.work(key, spec["ms"] / 1000))
        self.running[key] = {"cpu": spec["cpu"], "at": now(), "ms": spec["ms"], "timer": timer}
        self.site.note_start(self, key, order["spec"])
        return 200, {"clock_ms": clock}

    def stop_run(self, order):
        key = (order["task"], order["run"])
        self.highest_ended[key[0]] = max(key[1], self.highest_ended.get(key[0], 0))
        if key in self.running:
            asyncio.create_task(self.finish_stop(key))
        return 200, {"clock_ms": self.clock()}

    async def finish_stop(self, key):
        await asyncio.sleep(STOP_MS / 2000)
        await self.end(key, "stopped")

    async def hold(self, order):
        if "expires_at_ms" in order:
            self.extend(order["expires_at_ms"])
        self.ended = [row for row in self.ended if row[0] > order.get("observed", 0)]
        end = now() + order.get("wait_ms", 0) / 1000
        async with self.news:
            while not self.ended and now() < end:
                try:
                    await asyncio.wait_for(self.news.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass
        running = [[task, run, "", min(99, int((now() - state["at"]) * 100_000 / max(1, state["ms"])))]
                   for (task, run), state in self.running.items()]
        return 200, {"clock_ms": self.clock(), "running": running, "ended": self.ended[:500], "born": self.born}


class FastWorker(Worker):
    """A worker whose calls a process of its own answers (worker.rs), for many calls at once. Its heartbeats are sent from here."""

    work_ms = 1000
    channels = 64
    tasks_max = 64

    async def start(self):
        if not os.path.exists(FAST_WORKER):
            raise CannotRun("the stand-in of the worker is not built")
        self.log_path = os.path.join(self.site.temporary, f"{self.name}.runs")
        words = ["%s:%d" % self.address, self.born, self.work_ms, self.channels, self.tasks_max, self.log_path]
        self.site.helpers.append(subprocess.Popen([FAST_WORKER, *map(str, words)], stdin=subprocess.DEVNULL))
        await asyncio.sleep(0.2)
        self.tasks = [asyncio.create_task(self.beat())]

    def runs(self):
        """Returns the starts and ends so far: times in seconds, what has happened, the task and the run."""
        with open(self.log_path, encoding="utf-8") as file:
            rows = [line.split() for line in file if line.endswith("\n")]
        return [(int(at) / 1e6, event, task, int(run)) for at, event, task, run in rows]


# The deployment ------------------------------------------------------------------------------------------------------------------

def shared_port(addresses, taken):
    """Returns a port that is free at all of the addresses, below those that the system gives to outgoing channels."""
    for _ in range(200):
        port = random.randrange(12000, 32000)
        if port in taken:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        taken.add(port)
        return port
    raise CannotRun("no free port")


class Site:
    """Entries and agents as processes, with one worker beside each agent."""

    def __init__(self, folder, entries=1, agents=1, zones=("alfa", "beta", "gama")):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="case-")
        base = 16 + os.getpid() % 200
        self.entry_ips = [f"127.{base}.1.{number + 1}" for number in range(entries)]
        self.agent_ips = [f"127.{base}.2.{number + 1}" for number in range(agents)]
        self.store_ip = f"127.{base}.3.1"
        self.zones = zones
        taken = set()
        every = self.entry_ips + self.agent_ips + [self.store_ip]
        names = ("front", "ready", "control", "mesh", "app", "store")
        self.ports = {name: shared_port(every, taken) for name in names}
        self.processes = {}
        self.helpers = []
        self.workers = []
        self.starts = []
        self.ends = []
        self.store = Store(self.record)

    def zone(self, number):
        return self.zones[number % len(self.zones)]

    def front(self, number):
        return self.entry_ips[number], self.ports["front"]

    def render(self, template, values):
        with open(os.path.join(ROOT, "deploy", template), encoding="utf-8") as file:
            text = file.read()

        def fill(match):
            name, _, form = match.group(1).partition("|")
            value = values[name]
            return json.dumps(value) if form == "json" else str(value)

        return re.sub(r"\{\{([^}]+)\}\}", fill, text)

    def settings(self, name, ip, zone):
        is_agent = name.startswith("agent")
        seeds = [f"{seed}:{self.ports['control']}" for seed in self.entry_ips[:3]]
        return {
            "node_name": name, "zone": zone, "ip": ip, "limits.cpu_share": 0.25, "port_range.0": self.ports["mesh"], "seeds": seeds,
            "listen.front": f"{ip}:{self.ports['front']}", "listen.ready": f"{ip}:{self.ports['ready']}",
            "listen.control": f"{ip}:{self.ports['control']}", "app": f"{ip}:{self.ports['app']}", "service": "desk",
            "platform.address": f"{self.store_ip}:{self.ports['store']}", "platform.min_ttl_ms": 1000, "bounds.retransmit_ms": 1300,
            "bounds.max_hold_ms": HOLD_MAX_MS, "bounds.stop_timeout_ms": STOP_MS, "bounds.grace_s": 6,
            "limits.memory_mb": 128 if is_agent else 260, "limits.max_fds": 4096 if is_agent else 4100,
        }

    def launch(self, name):
        role, number = name.split("-")
        ip = (self.entry_ips if role == "entry" else self.agent_ips)[int(number)]
        path = os.path.join(self.temporary, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.render(f"{role}.toml.in", self.settings(name, ip, self.zone(int(number)))))
        log = open(os.path.join(self.temporary, f"{name}.log"), "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["VANILLACLEAT_BOOT"] = path
        self.processes[name] = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"platform: started {name}")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.write(f"platform: {signal.Signals(number).name} to {name}")

    async def start(self, config, make_worker=None, worker_kind=Worker):
        await self.store.start((self.store_ip, self.ports["store"]))
        await self.store.write("op/config", config)
        for number in range(len(self.entry_ips)):
            self.launch(f"entry-{number}")
        for number, ip in enumerate(self.agent_ips):
            self.launch(f"agent-{number}")
            options = make_worker(number) if make_worker else {}
            worker = worker_kind(self, f"i-{number}", (ip, self.ports["app"]), (ip, self.ports["control"]), self.zone(number), **options)
            await worker.start()
            self.workers.append(worker)
        await self.wait_ready()

    async def wait_ready(self):
        end = now() + 20
        for number, ip in enumerate(self.entry_ips):
            while True:
                answer = await request((ip, self.ports["ready"]), "GET", "/v1/readyz", "x", patience=1.0)
                if answer.status == 200:
                    break
                if now() > end or self.processes[f"entry-{number}"].poll() is not None:
                    raise CannotRun(f"entry-{number} is not ready: {answer}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)
        self.record.write("all entries are ready")

    def note_start(self, worker, key, spec):
        self.starts.append((now(), worker, key, spec))
        self.record.write(f"worker {worker.name}: started {key[0]} run {key[1]}")

    def note_end(self, worker, key, how):
        self.ends.append((now(), worker, key, how))
        self.record.write(f"worker {worker.name}: ended {key[0]} run {key[1]} {how}")

    async def call(self, number, method, path, host, body=None, deadline_ms=None, label=""):
        self.record.write(f"client: {method} {path} at entry-{number} {label}")
        answer = await request(self.front(number), method, path, host, body, deadline_ms)
        self.record.write(f"client: {method} {path} at entry-{number} {label}-> {answer}")
        return answer

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for process in self.helpers:
            process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def route(name, prefix, host="desk.example", timeout_ms=1500, priority=0, slack=1.6, latency=60, attempts=2, service="desk"):
    return {"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeout_ms, "target_latency_ms": latency,
            "priority": priority, "service": service, "max_attempts": attempts, "slack_factor": slack}


def config(version, routes, guards=True):
    services = [{"name": "desk", "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                 "cold_per_s": 0.0, "admission_check": guards, "standby": False}]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def job(ms, cpu=1000, count=1, steps=None, estimate_ms=None, **fields):
    """A best-effort job. Each task carries its work in the spec, where the stand-in of the worker finds it."""
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms or ms, **fields}
    return {"spec": json.dumps({"ms": ms, "cpu": cpu}), "best_effort": True, "steps": steps or [step]}


def run_case(play, **options):
    """Plays a case: `play(site, trouble)` returns whether the rule was held. The process exits with 0 if so, with 1 if the rule was
    broken, and with 2 if the case could not run."""
    folder = os.environ["CASE"]
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        site = None
        try:
            site = Site(folder, **options)
            held = await asyncio.wait_for(play(site, trouble), TIME_MAX_S)
            site.record.write("the rule was " + ("held" if held else "broken"))
            return 0 if held else 1
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as problem:
            print(f"the case could not run: {problem!r}")
            return 2
        finally:
            if site:
                site.stop()
            sys.stdout.flush()

    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except Exception:
        traceback.print_exc()
        code = 2
    # Channels that are still open end with the process.
    sys.stderr.flush()
    os._exit(code)
