"""Stand-in for a worker, after PROTOCOL.md: run-start, run-stop, hold, leases, ends, heartbeats and lifetimes."""

import asyncio
import json
import time

import http11

STOP_SECONDS = 0.02
HOLD_MAX_MS = 1000
HEARTBEAT_SECONDS = 1.5


class Run:
    def __init__(self, task, number, demand, began, seconds):
        self.task, self.number, self.demand, self.began, self.seconds = task, number, demand, began, seconds
        self.timer = None


class Worker:
    """One worker beside an agent. `work(task, spec)` returns the seconds that a task takes and its demand in millicores."""

    def __init__(self, site, name, ip, port, beat_port, zone, service, labels, cores=32000, guards=True):
        self.site, self.name, self.ip, self.port, self.beat_port = site, name, ip, port, beat_port
        self.zone, self.service, self.labels, self.cores, self.guards = zone, service, labels, cores, guards
        self.server, self.beats = None, None
        self.is_up, self.state, self.life = False, "ready", 0
        self.intercept = None  # async function(path, body) -> "answer", "silent" or "late"
        self.remaining_ms = None

    async def start(self, beat_delay=0.0):
        """Begins a lifetime. It holds and knows nothing of an earlier one."""
        self.is_up, self.state, self.seq, self.life = True, "ready", 0, self.life + 1
        self.started, self.born = time.monotonic(), int(time.time() * 1000)
        self.token, self.lease_end, self.last_end = 0, 0, 0
        self.running, self.ended, self.closed_runs = {}, [], {}
        self.news = asyncio.Event()
        self.server = http11.Server(self.handle)
        await self.server.start(self.ip, self.port)
        self.site.record(f"worker {self.name} up life={self.life} labels={','.join(self.labels)}")
        self.beats = asyncio.create_task(self.send_beats(beat_delay))
        self.lease_task = asyncio.create_task(self.watch_lease())

    async def crash(self, is_dark=False):
        """Ends the lifetime without notice. Nothing runs after it. A dark worker answers nothing and resets nothing; it keeps its
        address until `leave_dark`."""
        self.is_up = False
        for task in (self.beats, self.lease_task):
            task.cancel()
        if not is_dark:
            await self.server.stop()
        for run in list(self.running.values()):
            run.timer.cancel()
            self.site.run_ended(self, run, "crashed")
        self.running.clear()
        self.site.record(f"worker {self.name} crashed")

    async def leave_dark(self):
        """Begins the next lifetime of a dark worker. The channels of the former one are unknown to it."""
        await self.server.stop()
        await self.start()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def beat_body(self):
        self.seq += 1
        body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0, "capacity": {"cpu": self.cores, "mem_mb": 131072, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            body["remaining_ms"] = 2000
        return body

    async def beat(self):
        answer = await http11.call(self.ip, self.beat_port, "PUT", f"/v1/instances/{self.name}", f"{self.ip}:{self.beat_port}",
                                   self.beat_body(), timeout=1.0)
        return answer is not None and 200 <= answer[0] < 300

    async def send_beats(self, delay):
        await asyncio.sleep(delay)
        while True:
            acked = await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS if acked else 0.2)

    # Calls

    async def handle(self, method, target, headers, body):
        body = json.loads(body or b"{}")
        if self.intercept:
            verdict = await self.intercept(target, headers, body)
            if verdict == "silent":
                return None
        if not self.is_up:
            return None
        return await self.execute(target, headers, body)

    async def execute(self, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, self.reply({})
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, self.reply({"reason": "fence"})
        self.token = token
        if target == "/v1/run-start":
            return self.start_run(body)
        if target == "/v1/run-stop":
            return self.stop_run(body)
        if target == "/v1/hold":
            return await self.hold(body)
        return 404, self.reply({})

    def reply(self, fields):
        return {"clock_ms": self.clock(), "born": self.born, **fields}

    def extend_lease(self, body):
        if "expires_at_ms" in body:
            self.lease_end = max(self.lease_end, min(body["expires_at_ms"], self.clock() + HOLD_MAX_MS))

    def start_run(self, body):
        task, number = body["task"], body["run"]
        running = self.running.get((task, number))
        if running:
            self.extend_lease(body)
            return 200, self.reply({})
        if number <= self.closed_runs.get(task, 0):
            self.extend_lease(body)
            return 409, self.reply({"reason": "old"})
        if body["expires_at_ms"] <= self.clock():
            return 409, self.reply({"reason": "late"})
        self.extend_lease(body)
        seconds, demand = self.site.work(task, body["spec"])
        used = sum(run.demand for run in self.running.values())
        if self.guards and used + demand > self.cores:
            return 409, self.reply({"reason": "room"})
        run = Run(task, number, demand, time.monotonic(), seconds)
        self.running[task, number] = run
        run.timer = asyncio.get_running_loop().call_later(seconds, self.end_run, run, "done")
        self.site.run_began(self, run, body)
        return 200, self.reply({})

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        run = self.running.get((task, number))
        if run:
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_SECONDS, self.end_run, run, "stopped")
        return 200, self.reply({})

    def end_run(self, run, how):
        if self.running.pop((run.task, run.number), None) is None:
            return
        run.timer.cancel()
        self.closed_runs[run.task] = max(self.closed_runs.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.site.run_ended(self, run, how)
        self.news.set()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() >= self.lease_end:
                for run in list(self.running.values()):
                    self.end_run(run, "lapsed")

    async def hold(self, body):
        self.extend_lease(body)
        observed = body.get("observed", 0)
        self.ended = [row for row in self.ended if row[0] > observed]
        deadline = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < deadline:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = [[run.task, run.number, "", min(99, int(100 * (now - run.began) / run.seconds)), run.demand]
                   for run in self.running.values()]
        return 200, self.reply({"running": running, "ended": self.ended[:500]})
