"""A small deployment on loopback: the project's processes with the commands of the deploy file, and stand-ins around them."""

import asyncio
import base64
import gc
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
import tomllib

import http11
from link import MeshLink
from store import Store
from worker import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The bounds of the small sites in SYSTEM.md.
BOUNDS = {"retransmit_ms": 1300, "max_hold_ms": 1000, "stop_timeout_ms": 50, "grace_s": 6}
MIN_TTL_MS = 1000
# A longer stall of the stand-ins themselves could look like a fault of the project.
STALL_MAX_SECONDS = 0.2


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(ips, wanted=None):
    """Returns a port that is free at all these addresses. Ports of outgoing connections lie above the range."""
    for _ in range(200):
        port = wanted or random.randrange(10_000, 30_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
            return port
        except OSError:
            time.sleep(0.05)
    raise CannotRun("no free port")


def render(template, values):
    """Fills in the placeholders that the project's templates use."""
    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Machine:
    """A machine of the deployment with one process of the project."""

    def __init__(self, site, role, name, zone, ip):
        self.site, self.role, self.name, self.zone, self.ip = site, role, name, zone, ip
        self.process, self.store_fault, self.was_ended = None, False, False

    def start(self):
        role = self.site.deploy["roles"][self.role]
        path = os.path.join(self.site.folder, f"{self.name}.toml")
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        with open(path, "w") as file:
            file.write(render(template, self.values()))
        with open(os.path.join(self.site.folder, f"{self.name}.log"), "ab") as log:
            environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "VANILLACLEAT_BOOT": path}
            command = role["run"].split(" ")
            command[0] = os.path.join(ROOT, command[0])
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.site.record(f"process {self.name} started")

    def values(self):
        site = self.site
        listen = {"front": f"{self.ip}:{site.front_port}", "ready": f"{self.ip}:{site.ready_port}",
                  "control": f"{self.ip}:{site.control_port}"}
        return {"node_name": self.name, "zone": self.zone, "ip": self.ip, "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100}, "listen": listen,
                "port_range": [site.mesh_port, site.mesh_port], "app": f"{self.ip}:{site.app_port}", "service": site.service,
                "seeds": [f"{site.mesh_ip(entry)}:{site.control_port}" for entry in site.entries],
                "platform": {"address": f"{self.ip}:{site.store_port}", "min_ttl_ms": MIN_TTL_MS}, "bounds": BOUNDS}

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.record(f"process {self.name} signal={signal.Signals(number).name}")

    def log(self):
        with open(os.path.join(self.site.folder, f"{self.name}.log"), errors="replace") as file:
            return file.read()


class Deployment:
    """Entries, agents with a worker each, and the store. Every machine has a loopback address of its own."""

    def __init__(self, case_folder, fronts=3, sides=6, labels=None, guards=True, prepare=None):
        self.begun = time.monotonic()
        self.case_folder = case_folder
        self.lines, self.prepare = [], prepare
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.service, self.host, self.prefix = "svc1", "desk.example", "/firm-bid/"
        self.zones = ["zone-1", "zone-2", "zone-3"]
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        if not os.path.exists(os.path.join(ROOT, self.deploy["roles"]["entry"]["run"].split(" ")[0])):
            raise CannotRun("the program of the deploy file is not built")
        zone = lambda number: self.zones[number % len(self.zones)]
        net = 32 + os.getpid() % 200
        # Two digits each, so that the addresses of proxies sort like those of the machines behind them.
        self.entries = [Machine(self, "entry", f"front-{n + 1}", zone(n), f"127.{net}.1.{10 + 20 * n}") for n in range(fronts)]
        self.agents = [Machine(self, "agent", f"side-{n + 1}", zone(n), f"127.{net}.2.{n + 1}") for n in range(sides)]
        machines = self.entries + self.agents
        ips = [machine.ip for machine in machines]
        ports = []
        # The port of the metrics is fixed in the templates.
        free_port(ips, 9464)
        while len(ports) < 6:
            port = free_port(ips)
            if port not in ports and port != 9464:
                ports.append(port)
        self.front_port, self.ready_port, self.control_port, self.mesh_port, self.app_port, self.store_port = ports
        self.store = Store()
        self.workers = [Worker(self, f"i-{n + 1:04x}", agent.ip, self.app_port, self.control_port, agent.zone, self.service,
                               (labels or (lambda number: ["a"]))(n) + [f"r1-{n // 3}"], guards=guards)
                        for n, agent in enumerate(self.agents)]
        self.store_servers = []
        self.runs, self.jobs = [], {}
        self.version, self.stall_max = 1, 0.0
        self.mesh_links = {}  # the links before the entries, by name

    # Set-up and end

    def mesh_ip(self, entry):
        """The address at which other machines reach an entry: its own, or that of the link before it."""
        link = self.mesh_links.get(entry.name)
        return link.ip if link else entry.ip

    async def link_entries(self):
        """Puts a link before each entry, so that a zone can be partitioned from the others."""
        for entry in self.entries:
            prefix, last = entry.ip.rsplit(".", 1)
            link = MeshLink(self, entry, f"{prefix}.{int(last) + 1}", self.mesh_port)
            await link.start()
            self.mesh_links[entry.name] = link

    def rewrite(self, items):
        """Returns the items with the addresses of the links in place of those of the entries."""
        def address(item):
            value = base64.b64decode(item["value"]).decode("utf-8", "replace")
            for entry in self.entries:
                value = value.replace(f"{entry.ip}:{self.mesh_port}", f"{self.mesh_ip(entry)}:{self.mesh_port}")
            return {**item, "value": base64.b64encode(value.encode()).decode()}
        return [address(item) if item["key"].startswith("vanillacleat/entries/") else item for item in items]

    def cut_zone(self, zone):
        """Partitions a zone from the others: whatever crosses its border is held up."""
        self.record(f"{zone} is partitioned from the other zones")
        for link in self.mesh_links.values():
            link.cut(zone)

    def heal_zones(self):
        self.record("the partition is healed")
        for link in self.mesh_links.values():
            link.heal()

    def config(self, routes=None):
        route = {"name": "r-1", "host": self.host, "prefix": self.prefix, "kind": "non_idempotent", "timeout_ms": 1500,
                 "target_latency_ms": 60, "priority": 0, "service": self.service, "max_attempts": 2, "slack_factor": 1.6}
        service = {"name": self.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                   "cold_start_s": 0.0, "cold_per_s": 0.0, "admission_check": self.workers[0].guards, "standby": False}
        return {"version": self.version, "routes": [{**route, **changes} for changes in (routes or [{}])], "services": [service],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def watch_stalls(self):
        """Records when the stand-ins themselves were stalled, because the machine was busy."""
        while True:
            begun = time.monotonic()
            await asyncio.sleep(0.005)
            stall = time.monotonic() - begun - 0.005
            if stall > 0.03:
                self.stall_max = max(self.stall_max, stall)
                self.record(f"stand-ins stalled for {stall:.3f} s")

    async def start(self):
        asyncio.create_task(self.watch_stalls())
        self.store.write("op/config", self.config())
        for machine in self.entries + self.agents:
            server = self.store.server(lambda machine=machine: machine.store_fault, self.rewrite)
            await server.start(machine.ip, self.store_port)
            self.store_servers.append(server)
        if self.prepare:
            await self.prepare(self)
        for machine in self.entries + self.agents:
            machine.start()
        for worker in self.workers:
            await worker.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Waits until every entry is ready and serves a job of one short task at each worker's service."""
        for entry in self.entries:
            for attempt in range(100):
                answer = await http11.call(entry.ip, self.ready_port, "GET", "/v1/readyz", "probe", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{entry.name} is not ready")
        await asyncio.sleep(3.0)

    async def stop(self):
        for machine in self.entries + self.agents:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.entries + self.agents:
            if machine.process:
                machine.process.wait()
        for worker in self.workers:
            if worker.is_up:
                worker.beats.cancel()
                worker.lease_task.cancel()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.05)
        gc.collect()
        await asyncio.sleep(0.05)
        with open(os.path.join(self.case_folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Record

    def now(self):
        return time.monotonic() - self.begun

    def record(self, line):
        self.lines.append(f"{self.now():8.3f} {line}")

    def work(self, task, spec):
        """The seconds and the millicores of a task. The clients of a case put the work of a task into its `spec`."""
        fields = dict(part.split("=") for part in spec.split(" ") if "=" in part)
        return int(fields["work_ms"]) / 1000, int(fields["cpu"])

    def run_began(self, worker, run, body):
        entry = {"task": run.task, "run": run.number, "worker": worker.name, "life": worker.life, "labels": list(worker.labels),
                 "began": self.now(), "ended": None, "how": None, "spec": body["spec"]}
        run.entry = entry
        self.runs.append(entry)
        self.record(f"run began task={run.task} run={run.number} worker={worker.name} life={worker.life}")

    def run_ended(self, worker, run, how):
        run.entry["ended"], run.entry["how"] = self.now(), how
        self.record(f"run ended task={run.task} run={run.number} worker={worker.name} life={worker.life} how={how}")

    def overlaps(self):
        """Returns the pairs of runs of one task that ran at the same time, with the seconds for which they did."""
        by_task, found = {}, []
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        for runs in by_task.values():
            runs.sort(key=lambda run: run["began"])
            for number, one in enumerate(runs):
                for other in runs[number + 1:]:
                    ends = [run["ended"] if run["ended"] is not None else self.now() for run in (one, other)]
                    seconds = min(ends) - other["began"]
                    if seconds > 0:
                        found.append((one, other, seconds))
        return found

    # Clients

    def job(self, tasks, work_ms, cpu=3100, estimate_ms=None, steps=1, **fields):
        spec = f"work_ms={work_ms} cpu={cpu}"
        step = {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms or work_ms, **fields}
        chain = [{**step, "after": [number - 1]} if number else step for number in range(steps)]
        return {"spec": spec, "steps": chain, "best_effort": True}

    async def submit(self, ip, port, job_id, job, deadline_ms, note=""):
        """Sends a job and waits for its answer, for the deadline at most. Returns status and body, or None."""
        self.record(f"sent POST {job_id} to={ip} deadline_ms={deadline_ms} {note}".rstrip())
        answer = await http11.call(ip, port, "POST", self.prefix + job_id, self.host, job, [("Deadline-Ms", str(deadline_ms))],
                                   timeout=deadline_ms / 1000)
        self.record(f"answer POST {job_id} from={ip} {answer}")
        return answer

    async def request(self, method, ip, path, timeout=2.0):
        self.record(f"sent {method} {path} to={ip}")
        answer = await http11.call(ip, self.front_port, method, path, self.host, timeout=timeout)
        self.record(f"answer {method} {path} from={ip} {answer}")
        return answer


def main(case_file, run, **options):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    async def body():
        site = Deployment(os.path.dirname(os.path.abspath(case_file)), **options)
        try:
            await site.start()
            broken = await run(site, os.environ.get("TROUBLE", "1") != "0")
            ended = [machine for machine in site.entries + site.agents if machine.process.poll() is not None and not machine.was_ended]
            for machine in ended:
                site.record(f"process {machine.name} exited by itself: {machine.process.returncode}")
            for line in broken:
                site.record(f"BROKEN {line}")
            site.record(f"longest stall of the stand-ins: {site.stall_max:.3f} s")
            if site.stall_max > STALL_MAX_SECONDS:
                raise CannotRun("the machine is too busy for the stand-ins")
            print("\n".join(broken[:10]) or "the rule held")
            return 1 if broken else 0
        except CannotRun as problem:
            site.record(f"can't run: {problem}")
            raise
        finally:
            await site.stop()
    try:
        code = asyncio.run(body())
    except Exception as problem:  # An error of the script says nothing of the rule.
        print(f"can't run: {problem!r}")
        code = 2
    sys.exit(code)
