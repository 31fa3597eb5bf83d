"""Checks that no task has two overlapping runs, whatever faults hit entries, agents and workers.

The check compares the start and end times of all runs, as the stand-in workers recorded them. The
worker of agent-1 has a clock that is 2% slow, so that its leases last longer than requested.
"""
import json
import os
import random
import signal
import socket
import threading
import time
import unittest

from platform_case import AGENTS, ENTRIES, HOST, PlatformCase, send
from peers import ENTRY_NET, RELAY_NET
from relay import Relay, RelayStore

SEED = int(os.environ.get("CAROBFALL_SEED", "14"))
RANDOM_SECONDS = float(os.environ.get("CAROBFALL_RANDOM_SECONDS", "16"))
RESEND_AFTER = 1.3  # callers_resend_after of run_bounds.h
# Entries and callers consider a run ended after a shorter time. A run that wasn't stopped therefore
# overlaps the next run of its task.
RUN_MS = 2500
ROUND_SECONDS = 3.0


class LostRunsTest(PlatformCase):
    store_type = RelayStore
    seed_ip = RELAY_NET + "1"

    def prepare(self):
        self.relays = [Relay((RELAY_NET + str(i + 1), self.link_port),
                             (ENTRY_NET + str(i + 1), self.link_port)) for i in range(ENTRIES)]
        for relay in self.relays:
            self.addCleanup(relay.stop)
        self.workers[1].clock_rate = 0.98
        self.callers, self.last_job, self.answers = [], 0x1000, []

    def setUp(self):
        super().setUp()
        for worker in self.workers:
            worker.run_ms = RUN_MS

    # ------------------------------------------------------------------ callers

    def submit_in_background(self, entry, call_timeout=ROUND_SECONDS, count=3,
                             seconds=ROUND_SECONDS):
        """Submits a job in the background and resubmits it until it succeeds or `seconds` pass."""
        self.last_job += 1
        self.callers.append(threading.Thread(
            target=self.submit_until_success,
            args=("%016x" % self.last_job, entry, call_timeout, count, time.monotonic() + seconds)))
        self.callers[-1].start()

    def submit_until_success(self, job, entry, call_timeout, count, end):
        step = {"count": count, "cpu": 6200, "mem_mb": 64, "estimated_ms": RUN_MS}
        while (left := end - time.monotonic()) > 0:
            status, _, _ = send(self.entries[entry], "POST", "/check/" + job,
                                {"spec": "text", "best_effort": True, "steps": [step]},
                                {"Host": HOST, "Carobfall-Deadline-Ms": "9000"},
                                timeout=min(call_timeout, left))
            self.answers.append(status)
            if status == 200 or time.monotonic() > end:
                return
            # A 503 guarantees that nothing runs, so that the job may be resubmitted at once.
            time.sleep(0.1 if status == 503 else RESEND_AFTER)
            entry, call_timeout = 1 - entry, left

    # ------------------------------------------------------------------- faults

    def pause(self, name, seconds):
        self.processes[name].send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.processes[name].send_signal(signal.SIGCONT)

    def restart(self, name, absent=0.0):
        self.processes[name].kill()
        self.processes[name].wait()
        time.sleep(absent)
        self.start(name)

    def reset(self, times=1, pause=0.2):
        for _ in range(times):
            for relay in self.relays:
                relay.reset()
            time.sleep(pause)

    def inject_worker_fault(self, worker, seconds, **changes):
        """Sets attributes of a stand-in worker for some seconds."""
        before = {name: getattr(worker, name) for name in changes}
        for name, value in changes.items():
            setattr(worker, name, value)
        time.sleep(seconds)
        for name, value in before.items():
            setattr(worker, name, value)

    def run_concurrently(self, *faults):
        """Runs the faults concurrently and waits for all of them."""
        threads = [threading.Thread(target=fault) for fault in faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_foreign_heartbeat(self, worker, **changes):
        """Sends the agent of `worker` a heartbeat of another writer. Returns the status."""
        foreign = worker.heartbeat() | {"service": "night-batch", "address": "127.0.0.9:8080",
                                        "born": int(time.time() * 1000), "sequence": 1}
        foreign |= changes
        return send(worker.agent_address, "POST",
                    "/api/Instances.Heartbeat/" + foreign.pop("id", "i-0dd0"), foreign)[0]

    def set_unanswered(self, *kinds):
        for worker in self.workers:
            worker.unanswered = set(kinds)

    # -------------------------------------------------------------------- check

    def start_jobs(self, call_timeout=ROUND_SECONDS, entries=(0, 1)):
        """Submits jobs and waits until their tasks run."""
        for _ in range(3):
            for entry in entries:
                self.submit_in_background(entry, call_timeout)
        time.sleep(0.4)

    def assert_no_overlapping_runs(self):
        """Waits for callers and workers, then checks that no two runs of a task overlap."""
        for caller in self.callers:
            caller.join()
        self.callers.clear()
        self.set_unanswered()
        self.wait_for(lambda: not any(w.active for w in self.workers), "all runs end", 5)
        runs = {}
        for number, worker in enumerate(self.workers):
            for task, run, begun, ended, how in worker.all_intervals():
                runs.setdefault(task, []).append((begun, ended, how, number, run))
        wall = time.time() - time.monotonic()
        overlaps = []
        for task, times in sorted(runs.items()):
            times.sort()
            for first, second in zip(times, times[1:]):
                if second[0] < first[1]:
                    overlaps.append("%s had two runs for %.0f ms: %s" % (
                        task, (first[1] - second[0]) * 1000, "; ".join(
                            "agent-%d run %d from %.3f to %.3f %s" % (
                                number, run, begun + wall, ended + wall, how)
                            for begun, ended, how, number, run in times)))
        repeated = sum(1 for times in runs.values() if len(times) > 1)
        print("%s: %d tasks, %d with several runs, answers 200: %d of %d, logs in %s" % (
            self.id().rsplit(".", 1)[-1], len(runs), repeated, self.answers.count(200),
            len(self.answers), self.directory), flush=True)
        self.assertEqual(overlaps, [], "seed %d, logs in %s" % (SEED, self.directory))

    def test_resets_while_worker_closes_connections(self):
        """Guards against tasks that are released because their agent reconnects."""
        self.start_jobs()
        self.run_concurrently(lambda: self.inject_worker_fault(self.workers[0], 0.8, closing=True),
                              lambda: self.inject_worker_fault(self.workers[1], 0.8, closing=True),
                              lambda: self.reset(4))
        self.assert_no_overlapping_runs()

    def test_worker_refuses_connections(self):
        """Guards against runs considered ended because their worker refuses connections."""
        self.start_jobs()
        self.run_concurrently(lambda: self.workers[0].refuse_connections(0.8),
                              lambda: self.workers[1].refuse_connections(0.8))
        self.assert_no_overlapping_runs()

    def test_agent_paused(self):
        """Guards against leases that an agent extends after it was paused."""
        for unanswered in ((), ("stop",)):
            self.start_jobs()
            self.set_unanswered(*unanswered)
            self.run_concurrently(lambda: self.pause("agent-1", 0.6),
                                  lambda: self.pause("agent-2", 2))
            self.assert_no_overlapping_runs()

    def test_entry_paused(self):
        """Guards against runs of a paused entry that overlap those of a resubmission."""
        for seconds, unanswered in ((0.6, ()), (2, ("stop",))):
            self.set_unanswered(*unanswered)
            self.start_jobs(call_timeout=0.41, entries=(0, 0))
            self.pause("entry-0", seconds)
            self.assert_no_overlapping_runs()

    def test_agent_killed(self):
        """Guards against a restarted agent that extends the lease of runs that it can't stop."""
        self.start_jobs()
        self.set_unanswered("stop")
        self.run_concurrently(lambda: self.restart("agent-1"), lambda: self.restart("agent-2", 0.5))
        self.assert_no_overlapping_runs()

    def test_entry_killed(self):
        """Guards against runs of a killed entry that continue when its caller resubmits the job."""
        self.set_unanswered("stop")
        self.start_jobs(entries=(0, 0))
        self.restart("entry-0", 0.3)
        self.assert_no_overlapping_runs()

    def test_late_orders_and_resets(self):
        """Guards against unanswered orders that are executed after their task was released."""
        for worker in self.workers[:2]:
            worker.late = {"start", "stop"}
        self.start_jobs()
        self.reset(3, 0.4)
        for worker in self.workers:
            worker.late = set()
        self.assert_no_overlapping_runs()

    def test_foreign_heartbeat(self):
        """Guards against a heartbeat of another writer that ends the runs of the worker."""
        self.start_jobs()
        self.assertNotEqual(self.send_foreign_heartbeat(self.workers[0]), 200)
        self.assertNotEqual(self.send_foreign_heartbeat(self.workers[1], id=self.workers[1].id), 200)
        self.assert_no_overlapping_runs()

    def test_foreign_heartbeats_beside_short_runs(self):
        """Guards against tasks that start elsewhere while the worker finishes them, as in issue 28."""
        for worker in self.workers:
            worker.run_ms = 170
        for number in range(90):
            self.submit_in_background(number % 2, count=2)
            if number % 30 == 15:
                self.send_foreign_heartbeat(self.workers[number // 30])
            time.sleep(0.02)
        self.assert_no_overlapping_runs()

    def test_worker_restarts_under_its_id(self):
        """Guards against starts on a new incarnation that are reported as ended with the old one."""
        for first_heartbeat_s in (0.0, 0.5, 0.5, 0.5):
            for worker in self.workers:
                worker.run_ms = 900
            restarting = threading.Thread(target=self.workers[1].restart,
                                          args=(0.2, first_heartbeat_s))
            restarting.start()
            for _ in range(40):
                self.submit_in_background(self.last_job % 2, count=1)
                time.sleep(0.02)
            restarting.join()
            self.assert_no_overlapping_runs()

    def test_unread_requests_of_a_paused_entry(self):
        """Guards against an entry that wakes and runs jobs whose callers have left."""
        for worker in self.workers:
            worker.run_ms = 900
        pause = threading.Thread(target=self.pause, args=("entry-0", 3.0))
        pause.start()
        time.sleep(0.1)
        for _ in range(20):
            self.submit_in_background(0, call_timeout=1.0, count=1, seconds=5)
            time.sleep(0.02)
        pause.join()
        self.assert_no_overlapping_runs()

    def submit_with_held_up_close(self, job, held):
        """Sends the job to entry-0 and, after the caller has given up, to entry-1. The end of the first
        connection is held up on its way, so that entry-0 doesn't see it."""
        document = json.dumps({"spec": "text", "best_effort": True, "steps": [
            {"count": 1, "cpu": 6200, "mem_mb": 64, "estimated_ms": 900}]})
        connection = socket.create_connection(self.entries[0])
        held.append(connection)
        connection.sendall(("POST /check/%s HTTP/1.1\r\nHost: %s\r\nCarobfall-Deadline-Ms: 4000\r\n"
                            "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
                                job, HOST, len(document), document)).encode())
        time.sleep(1.0 + RESEND_AFTER)
        self.answers.append(self.submit(job, self.entries[1], count=1)[0])

    def test_requests_read_after_a_pause(self):
        """Guards against requests that a paused entry runs since the end of their connections is late."""
        for worker in self.workers:
            worker.run_ms = 900
        held = []
        pause = threading.Thread(target=self.pause, args=("entry-0", 2.7))
        pause.start()
        time.sleep(0.1)
        for number in range(20):
            self.callers.append(threading.Thread(target=self.submit_with_held_up_close,
                                                 args=("%016x" % (0x2000 + number), held)))
            self.callers[-1].start()
            time.sleep(0.02)
        pause.join()
        self.assert_no_overlapping_runs()
        for connection in held:
            connection.close()
        self.wait_for(lambda: self.submit("%016x" % time.monotonic_ns(), self.entries[0])[0] == 200,
                      "the entry serves again", 3)

    @staticmethod
    def start_fault(active_faults, component, fault):
        """Injects the fault in the background, one at a time per component: a paused process can't be
        restarted, for example."""
        if component not in active_faults or not active_faults[component].is_alive():
            active_faults[component] = threading.Thread(target=fault)
            active_faults[component].start()

    def choose_worker_fault(self, choice):
        """Draws a fault of workers, or messages of another writer."""
        worker = choice.choice(self.workers)
        dark, first_heartbeat = choice.uniform(0.02, 0.8), choice.uniform(0, 0.7)
        odd_start = int(time.time() * 1000) + choice.randint(-5000, 5000)
        return choice.choice([
            lambda: worker.restart(dark, first_heartbeat),
            lambda: worker.restart(dark, first_heartbeat, new_id=True),
            lambda: self.send_foreign_heartbeat(worker),
            lambda: self.send_foreign_heartbeat(worker, id=worker.id, born=odd_start)])

    def test_random_worker_faults(self):
        """Guards against combinations of restarted workers, foreign heartbeats and other faults."""
        choice, active_faults = random.Random(SEED), {}
        end = time.monotonic() + RANDOM_SECONDS
        while time.monotonic() < end:
            call_timeout = choice.choice([6.0, 6.0, choice.uniform(0.3, 2.0)])
            for worker in self.workers:
                worker.run_ms = choice.choice([200, 900, RUN_MS])
            self.submit_in_background(choice.randrange(ENTRIES), call_timeout,
                                      choice.randint(1, 4), 5)
            component, fault = self.choose_fault(choice)
            if choice.random() < 0.6:
                component, fault = "workers", self.choose_worker_fault(choice)
            self.start_fault(active_faults, component, fault)
            time.sleep(choice.uniform(0.05, 0.3))
        for thread in active_faults.values():
            thread.join()
        self.assert_no_overlapping_runs()

    def choose_fault(self, choice):
        """Draws a fault; returns the component that it affects and the function that injects it."""
        long, pause = choice.uniform(0.2, 2.2), choice.uniform(0.05, 0.4)
        times = choice.randint(1, 4)
        number = choice.randrange(AGENTS)
        worker, agent, orders = self.workers[number], "agent-%d" % number, "worker-%d" % number
        entry = "entry-%d" % choice.randrange(ENTRIES)
        kinds = set(choice.sample(["start", "stop", "hold"], choice.randint(1, 2)))
        return choice.choice([
            ("links", lambda: self.reset(times, pause)),
            (entry, lambda: self.pause(entry, long)),
            (entry, lambda: self.restart(entry, long / 4)),
            (agent, lambda: self.pause(agent, long)),
            (agent, lambda: self.restart(agent, long / 4)),
            (orders, lambda: self.inject_worker_fault(worker, long / 2, closing=True)),
            (orders, lambda: worker.refuse_connections(long / 2)),
            (orders, lambda: self.inject_worker_fault(worker, long, unanswered={"stop"})),
            (orders, lambda: self.inject_worker_fault(worker, long, unanswered=kinds)),
            (orders, lambda: self.inject_worker_fault(worker, long, late=kinds))])

    def test_random_faults(self):
        """Guards against combinations of overlapping faults, drawn at random from a seed."""
        choice, active_faults = random.Random(SEED), {}
        end = time.monotonic() + RANDOM_SECONDS
        while time.monotonic() < end:
            call_timeout = choice.choice([6.0, 6.0, choice.uniform(0.3, 2.0)])
            self.submit_in_background(choice.randrange(ENTRIES), call_timeout,
                                      choice.randint(1, 4), 5)
            component, fault = self.choose_fault(choice)
            self.start_fault(active_faults, component, fault)
            time.sleep(choice.uniform(0.1, 0.6))
        for thread in active_faults.values():
            thread.join()
        self.assert_no_overlapping_runs()


if __name__ == "__main__":
    unittest.main()
