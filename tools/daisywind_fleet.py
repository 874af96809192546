"""A deployment on loopback: stand-ins, gateways and the calls that drive them.

Shared by the tools that run real processes. Everything that is started here is
stopped by its process id.
"""

import hashlib
import json
import os
import pathlib
import random
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "release" / "bin"

ORGANISATION_KEY = "demo-organisation-key"
OPERATOR_KEY = "demo-operator-key"

# Below the range that the system takes for outgoing connections.
FIRST_PORT, LAST_PORT = 20000, 32000
GATEWAYS_PER_DOMAIN = 2
TIME_SCALE = 10
READY_BOUND_S = 30
RELEASE_BOUND_S = 30

# The region that is left, the one that is moved to, and the endpoints that must
# serve at any time; one engine of the new region is killed.
MOVES = {
    "choclo": {"old": "cordoba", "new": "rosario",
               "need": {"agent": 4, "cart": 3}},
    "inzira": {"old": "kigali", "new": "huye",
               "need": {"planner": 2, "rota": 1, "dispatch": 1}},
}


def say(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def call(address, path, method="GET", body=None, key=None, timeout=3):
    """Sends a request and returns (status, JSON); (0, None) without answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read()
            status = answer.status
    except urllib.error.HTTPError as error:
        return error.code, None
    except OSError:
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


def wait_until(check, bound_s, what):
    deadline = time.monotonic() + bound_s
    while not check():
        if time.monotonic() > deadline:
            raise RuntimeError(f"{what}: not within {bound_s} s")
        time.sleep(0.1)


class Processes:
    """The processes that this demo has started, by name."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, name, *arguments):
        out = open(self.folder / f"{name}.out", "wb")
        err = open(self.folder / f"{name}.log", "wb")
        self.running[name] = subprocess.Popen(
            [str(argument) for argument in arguments], stdout=out, stderr=err)
        return self.running[name]

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def check(self):
        ended = [name for name, process in self.running.items()
                 if name != "load" and process.poll() is not None]
        if ended:
            raise RuntimeError(f"ended by itself: {', '.join(ended)}")

    def stop(self):
        for process in self.running.values():
            process.terminate()
        deadline = time.monotonic() + 5
        for process in self.running.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running.clear()


class Fleet:
    """The stand-ins and gateways of a deployment."""

    def __init__(self, deployment, folder, seed, is_moving=True):
        self.deployment = deployment
        self.folder = folder
        self.is_moving = is_moving
        self.processes = Processes(folder)
        self.random = random.Random(f"{seed}-{os.getpid()}")
        self.move = MOVES[deployment]
        sample = ROOT / "samples" / deployment / "configuration.json"
        self.configuration = json.loads(sample.read_text())
        self.taken_ports = set()
        self.endpoints = {}
        self.gateways = {}
        self.engine_tokens = {}

    def free_port(self):
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT)
            if port in self.taken_ports:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.taken_ports.add(port)
            return port

    def start_stand_in(self, name, role, *options):
        port_file = self.folder / f"{name}.port"
        self.processes.start(
            name, BIN / "daisywind-standin", "--role", role, "--name", name,
            "--listen", "127.0.0.1:0", "--port-file", port_file,
            "--time-scale", TIME_SCALE, *options)
        wait_until(lambda: port_file.exists() and port_file.read_text().strip(),
                   READY_BOUND_S, name)
        return f"127.0.0.1:{port_file.read_text().strip()}"

    def region_of(self, domain):
        return self.configuration["failure_domains"][domain]["region"]

    def is_new(self, endpoint):
        item = self.configuration["endpoints"][endpoint]
        return self.is_moving and self.region_of(item["failure_domain"]) == self.move["new"]

    def start_endpoints(self):
        self.key_value = self.start_stand_in("kv", "kv")
        self.weights = self.start_stand_in("weights", "weights")
        self.vms = self.start_stand_in("vms", "vms")
        for name, item in self.configuration["endpoints"].items():
            item["address"] = self.start_endpoint(name, item)
            self.endpoints[name] = item["address"]
            if self.is_new(name):
                item["role"] = "empty"
        self.configuration["need"] = self.move["need"]
        organisation = self.configuration["organisations"][self.deployment]
        organisation["key_digest"] = digest(ORGANISATION_KEY)
        organisation["limits"] = {"tokens_per_second": 1000000,
                            "calls_per_second": 2000}

    def start_endpoint(self, name, item):
        if item["kind"] == "service":
            return self.start_stand_in(
                name, "service", "--capacity", item["capacity"],
                "--runs-file", self.folder / f"{name}.runs")
        options = ["--capacity", item["capacity"], "--weights", self.weights,
                   f"--checks-fencing={str(item['checks_fencing']).lower()}"]
        if not self.is_new(name):
            versions = lambda kind: ",".join(
                f"{each}:{self.configuration[kind][each]['version']}"
                for each in item[kind])
            options += ["--models", versions("models"),
                        "--adapters", versions("adapters")]
        return self.start_stand_in(name, "engine", *options)

    def start_gateways(self):
        domains = sorted(self.configuration["failure_domains"])
        names = [(f"vm-{domain}-{number}", domain) for domain in domains
                 for number in range(1, GATEWAYS_PER_DOMAIN + 1)]
        peers = {name: f"127.0.0.1:{self.free_port()}" for name, _ in names}
        for name, domain in names:
            callers = f"127.0.0.1:{self.free_port()}"
            admin = f"127.0.0.1:{self.free_port()}"
            settings = {
                "vm": name, "failure_domain": domain,
                "region": self.region_of(domain),
                "listen": {"callers": callers, "admin": admin,
                           "peers": peers[name]},
                "peers": {"seeds": [address for peer, address in peers.items()
                                    if peer != name][:3]},
                "key_value": {"addresses": [self.key_value]},
                "vm_list": {"address": self.vms},
                "operator": {"key_digest": digest(OPERATOR_KEY)},
            }
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(settings, indent=2))
            self.gateways[name] = {"callers": callers, "admin": admin}
            self.processes.start(name, BIN / "daisywind-gateway",
                                 "--settings", path)

    def restart_gateway(self, name):
        """Starts a gateway again whose process has ended."""
        self.processes.running.pop(name).wait()
        self.processes.start(name, BIN / "daisywind-gateway", "--settings",
                             self.folder / f"{name}.json")

    def signal(self, name, number):
        self.processes.running[name].send_signal(number)

    def start_load(self, programs, seed, rate):
        """Starts the programs; returns the process and where its report goes."""
        report = self.folder / "load.json"
        process = self.processes.start(
            "load", BIN / "daisywind-load", "run", "--gateways",
            ",".join(item["callers"] for item in self.gateways.values()),
            "--organisation", self.deployment, "--key", ORGANISATION_KEY,
            "--deployment", self.deployment, "--programs", programs,
            "--seed", seed, "--rate", rate, "--time-scale", TIME_SCALE,
            "--report", report)
        return process, report

    def wait_for_release(self):
        """What engines still hold for programs once it should be released."""
        deadline = time.monotonic() + RELEASE_BOUND_S
        held = self.held_sessions()
        while held and time.monotonic() < deadline:
            time.sleep(0.5)
            held = self.held_sessions()
        return held

    def publish_vms(self):
        names = list(self.endpoints) + list(self.gateways)
        body = {"vms": [{"id": name, "state": "live"} for name in names]}
        call(self.vms, "/standin/vms", "PUT", body)

    def write_first_version(self):
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(self.configuration, indent=2))
        self.control("config", "init", path, "--kv", f"http://{self.key_value}")

    def control(self, *arguments):
        """Runs daisywind-ctl and returns its JSON."""
        command = [BIN / "daisywind-ctl", "--output", "json",
                   "--key", OPERATOR_KEY]
        for gateway in self.gateways.values():
            command += ["--admin", f"http://{gateway['admin']}"]
        done = subprocess.run(
            [str(part) for part in command + list(arguments)],
            capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"daisywind-ctl {arguments[0]} {arguments[1]}: "
                               f"exit {done.returncode}: {done.stderr.strip()}"
                               f"{done.stdout.strip()}")
        return done.stdout

    def wait_until_ready(self):
        for name, gateway in self.gateways.items():
            wait_until(lambda: call(gateway["callers"], "/readyz")[0] == 200,
                       READY_BOUND_S, name)
            self.processes.check()

    def admin(self, path):
        """The answers of all gateways to a call of the operators."""
        answers = {}
        for name, gateway in self.gateways.items():
            status, body = call(gateway["admin"], f"/admin/v1/{path}",
                                key=OPERATOR_KEY)
            if status == 200:
                answers[name] = body
        return answers

    def newest_version(self):
        return max((body["newest"] for body in self.admin("status").values()),
                   default=0)

    def is_in_force(self, version):
        """Whether every gateway that runs has the version in force itself."""
        own = [item["version"] for name, body in self.admin("status").items()
               for item in body["vms"] if item["vm"] == name]
        return len(own) == len(self.gateways) and min(own) >= version

    def is_old_region_empty(self):
        return any(body.get("is_reconciler") and body["is_old_building_empty"]
                   for body in self.admin("migration").values())

    def patch_move(self):
        patch = [{"op": "replace", "path": f"/endpoints/{name}/role",
                  "value": "serving" if self.is_new(name) else "empty"}
                 for name in self.endpoints]
        path = self.folder / "move.json"
        path.write_text(json.dumps(patch, indent=2))
        self.control("config", "patch", path)

    def kill(self, name):
        self.sample_tokens()
        self.processes.kill(name)
        self.endpoints.pop(name, None)
        self.gateways.pop(name, None)
        self.publish_vms()

    def engines(self):
        return {name: address for name, address in self.endpoints.items()
                if self.configuration["endpoints"][name]["kind"] == "engine"}

    def sample_tokens(self):
        for name, address in self.engines().items():
            _, body = call(address, "/standin/tokens")
            if body:
                self.engine_tokens[name] = body

    def held_sessions(self):
        held = {}
        for name, address in self.engines().items():
            _, body = call(address, "/v1/cache/sessions")
            if body and body["sessions"]:
                held[name] = body["sessions"]
        return held

    def service_runs(self):
        """The number of runs by key, over all services, also killed ones."""
        runs = {}
        for path in self.folder.glob("*.runs"):
            for key in path.read_text().split():
                runs[key] = runs.get(key, 0) + 1
        return runs


def build():
    subprocess.run([ROOT / "tools" / "prepare"], check=True)
    subprocess.run(["cmake", "--preset", "release"], cwd=ROOT, check=True,
                   stdout=subprocess.DEVNULL)
    targets = ["daisywind-gateway", "daisywind-ctl", "daisywind-load",
               "daisywind-standin"]
    command = ["cmake", "--build", "--preset", "release", "--target", *targets]
    jobs = os.environ.get("DAISYWIND_JOBS")
    if jobs:
        command += ["-j", jobs]
    subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
