"""Runs a deployment on loopback: stand-ins, gateways and their clients.

Shared by the tools that run real processes. Every process started here is
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

# Below the ephemeral port range of Linux, so that no outgoing connection uses
# them.
FIRST_PORT, LAST_PORT = 20000, 32000
GATEWAYS_PER_DOMAIN = 2
# The stand-ins and the load client run this many times as fast.
TIME_SCALE = 10
READY_TIMEOUT_S = 30
RELEASE_TIMEOUT_S = 30

# For each deployment the regions between which the endpoints migrate, and the
# number of endpoints that must serve at any time. tools/demo kills one engine
# of the new region during the migration.
MIGRATIONS = {
    "choclo": {"old": "cordoba", "new": "rosario",
               "need": {"agent": 4, "cart": 3}},
    "inzira": {"old": "kigali", "new": "huye",
               "need": {"planner": 2, "rota": 1, "dispatch": 1}},
}


def log(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def call(address, path, method="GET", body=None, key=None, timeout=3):
    """Sends a request and returns (status, JSON).

    The JSON is None for an HTTP error or a body that is not JSON. Returns
    (0, None) if there is no response, for example because the connection is
    refused or nothing arrives within `timeout` seconds.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            text = response.read()
            status = response.status
    except urllib.error.HTTPError as error:
        return error.code, None
    except OSError:
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


def wait_until(check, timeout_s, what):
    deadline = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > deadline:
            raise RuntimeError(f"{what} was not ready within {timeout_s} s")
        time.sleep(0.1)


class Processes:
    """The processes started by the tool, by name."""

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
                 # The load client ends by itself.
                 if name != "load" and process.poll() is not None]
        if ended:
            raise RuntimeError(
                f"processes exited unexpectedly: {', '.join(ended)}")

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
    """The stand-ins and gateways of a deployment.

    The sample of a deployment has one organisation, of the same name.
    """

    def __init__(self, deployment, folder, seed, is_migrating=True):
        self.deployment = deployment
        self.folder = folder
        self.is_migrating = is_migrating
        self.processes = Processes(folder)
        self.random = random.Random(f"{seed}-{os.getpid()}")
        self.migration = MIGRATIONS[deployment]
        sample = ROOT / "samples" / deployment / "configuration.json"
        self.configuration = json.loads(sample.read_text())
        self.used_ports = set()
        self.endpoints = {}
        self.gateways = {}
        self.engine_tokens = {}

    def free_port(self):
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT)
            if port in self.used_ports:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.used_ports.add(port)
            return port

    def start_stand_in(self, name, role, *options):
        port_file = self.folder / f"{name}.port"
        self.processes.start(
            name, BIN / "daisywind-standin", "--role", role, "--name", name,
            "--listen", "127.0.0.1:0", "--port-file", port_file,
            "--time-scale", TIME_SCALE, *options)
        wait_until(lambda: port_file.exists() and port_file.read_text().strip(),
                   READY_TIMEOUT_S, name)
        return f"127.0.0.1:{port_file.read_text().strip()}"

    def region_of(self, domain):
        return self.configuration["failure_domains"][domain]["region"]

    # Whether the endpoint is in the region to which the endpoints migrate; false
    # for every endpoint if there is no migration.
    def is_migration_destination(self, endpoint):
        item = self.configuration["endpoints"][endpoint]
        return self.is_migrating and self.region_of(
            item["failure_domain"]) == self.migration["new"]

    def start_endpoints(self):
        self.key_value = self.start_stand_in("kv", "kv")
        self.weights = self.start_stand_in("weights", "weights")
        self.vms = self.start_stand_in("vms", "vms")
        for name, item in self.configuration["endpoints"].items():
            item["address"] = self.start_endpoint(name, item)
            self.endpoints[name] = item["address"]
            if self.is_migration_destination(name):
                item["role"] = "empty"
        self.configuration["need"] = self.migration["need"]
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
        if not self.is_migration_destination(name):
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

    def start_gateway_again(self, name):
        """Waits for a gateway process to exit and starts it again.

        The caller must have sent a signal that ends the process.
        """
        self.processes.running.pop(name).wait()
        self.processes.start(name, BIN / "daisywind-gateway", "--settings",
                             self.folder / f"{name}.json")

    def signal(self, name, signal_number):
        self.processes.running[name].send_signal(signal_number)

    def start_load(self, programs, seed, rate):
        """Starts the load client; returns its process and report path."""
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
        """Waits until the engines have released all sessions.

        Returns the sessions that are still held after the timeout, by engine.
        """
        deadline = time.monotonic() + RELEASE_TIMEOUT_S
        held = self.held_sessions()
        while held and time.monotonic() < deadline:
            time.sleep(0.5)
            held = self.held_sessions()
        return held

    def publish_vms(self):
        names = list(self.endpoints) + list(self.gateways)
        body = {"vms": [{"id": name, "state": "live"} for name in names]}
        call(self.vms, "/standin/vms", "PUT", body)

    def write_initial_configuration(self):
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(self.configuration, indent=2))
        self.control("config", "init", path, "--kv", f"http://{self.key_value}")

    def control(self, *arguments):
        """Runs daisywind-ctl and returns its JSON output as text."""
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
                       READY_TIMEOUT_S, name)
            self.processes.check()

    def admin(self, path):
        """Calls the admin API of all gateways.

        Returns the bodies of the responses with status 200, by gateway; the
        others are left out.
        """
        responses = {}
        for name, gateway in self.gateways.items():
            status, body = call(gateway["admin"], f"/admin/v1/{path}",
                                key=OPERATOR_KEY)
            if status == 200:
                responses[name] = body
        return responses

    def newest_version(self):
        return max((body["newest"] for body in self.admin("status").values()),
                   default=0)

    def is_in_force(self, version):
        """Whether every running gateway reports the version as installed."""
        own = [item["version"] for name, body in self.admin("status").items()
               for item in body["vms"] if item["vm"] == name]
        return len(own) == len(self.gateways) and min(own) >= version

    def is_old_region_empty(self):
        return any(body.get("is_reconciler") and body["is_old_building_empty"]
                   for body in self.admin("migration").values())

    def patch_migration(self):
        patch = [{"op": "replace", "path": f"/endpoints/{name}/role",
                  "value": "serving" if self.is_migration_destination(name)
                           else "empty"}
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
        """Returns the number of runs by idempotency key.

        The runs of killed services are included.
        """
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
