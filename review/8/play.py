"""A daemon that restarts as the store returns forgets that its server has left, though its peers know it."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from rig import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_WINDOW_S, DRAIN_S, OUTAGE_S, TIMEOUT_S, TIME_LIMIT_S = 3.0, 2.0, 8.0, 2.0, 4.0
HOST = "jepu9.example"
arrivals = []  # (time, server, attempt)


def work(server, request):
    attempt = request["headers"].get("request-attempt-id")
    if request["headers"].get("target-instance") != server.id:
        return server.answer(request, status="421 Misdirected Request", headers=[f"Instance-Id: {server.id}"])
    arrivals.append((server.record.now(), server, attempt))
    server.record.say(f"{server.id} runs {attempt}")
    server.ran(request)
    body = read_body(request)
    time.sleep(0.1)
    if hasattr(server, "exit_after"):
        # Its time to serve on is over; it exits whatever it runs.
        server.exit_after -= 1
        if server.exit_after == 0:
            server.record.say(f"{server.id} exits")
            server.exit()
            return False
    return server.answer(request, body or b"ok", headers=[SEAL])


def main(rig, record):
    store = Store(rig)
    store.put("op/config", config(3, [("r-book", HOST, "/lepu270/", "non_idempotent", "huvo11a", TIMEOUT_S, 2)],
                                  ["huvo11a", "wuno96b"]))
    places = [("rufiji-a", "wuno96b"), ("rufiji-a", "huvo11a"), ("bagamoyo-b", "huvo11a"), ("bagamoyo-b", "wuno96b")]
    machines = []
    for index, (zone, service) in enumerate(places):
        machine = Machine(rig, f"sidecar-{zone}-{index + 1}", f"127.0.1.{index + 1}", zone, "pwani", service, store)
        machine.start()
        machines.append(machine)
    caller, beside = machines[0], machines[1]
    servers = [Server(rig, machine, work, slots=18) for machine in machines]
    leaver = servers[1]
    wait(lambda: all(machine.is_ready() for machine in machines), 10, "the daemons don't become ready")
    time.sleep(8)  # StableWindowS after the start, and the search for daemons that started at the same time

    def book(count):
        for _ in range(count):
            attempt, status, headers, _, took = call(caller, "POST", HOST, "/lepu270/hire", b"hire", TIME_LIMIT_S)
            record.say(f"client: {attempt} -> {status} after {took:.3f} s {headers.get('medlarpoint-point', '')}")

    book(8)
    if not any(server is leaver for _, server, _ in arrivals):
        raise CannotRun("the server got no request before it leaves")
    down_at = record.now()
    if TROUBLE:
        store.faults(down=True)
        record.say("the store is down (503)")
    time.sleep(OUTAGE_S - 3)
    # The server leaves: it deregisters first. A report that it sent just before is late.
    late = leaver.beat()
    leaver.beats = False
    record.say(f"{leaver.id} sends report {late['Seq']} (ready), which will be late")
    status = leaver.report("Deregister", {"born": leaver.born})
    if status != 200:
        raise CannotRun(f"the deregistration has no ack: {status}")
    acked = record.now()
    record.say(f"{leaver.id} has the ack of its deregistration; it serves on for some seconds")
    time.sleep(max(0, down_at + OUTAGE_S - record.now()))
    if TROUBLE:
        beside.kill()
        store.faults()
        beside.start()
        record.say(f"the store is back; the daemon beside {leaver.id} was killed and starts again; entries in the store: "
                   f"{store.keys('daemons/')}, departures: {store.keys('departed/')}")
    back = record.now()
    wait(beside.is_ready, 10, "the daemon does not become ready again")
    time.sleep(max(0, back + 1 - record.now()))
    status = leaver.report("Heartbeat", late)
    record.say(f"the late report of {leaver.id} arrives {record.now() - acked:.1f} s after the ack: {status}")
    # From now on all machines are in touch.
    time.sleep(max(0, back + STABLE_WINDOW_S + 0.2 - record.now()))
    judged_from = record.now()
    leaver.exit_after = 5
    book(12)
    broken = 0
    for at, server, attempt in arrivals:
        if server is leaver and at > max(acked + DRAIN_S, judged_from):
            broken += 1
            record.say(f"DRAIN: {attempt} reached {leaver.id} {at - acked:.3f} s after the ack of its deregistration")
    record.say(f"rule DRAIN {'broken' if broken else 'held'}: {broken} requests later than DrainS after the ack")
    for line in beside.log().splitlines():
        if "MP50" in line:
            record.say("log of that daemon: " + line.split('"payload":"')[-1].split('"')[0])
    return 1 if broken else 0


record = Record(os.path.join(HERE, "record.txt"))
rig = None
try:
    rig = Rig(record)
    code = main(rig, record)
except CannotRun as error:
    record.say(f"cannot run: {error}")
    print(error, file=sys.stderr)
    code = 2
except Exception as error:  # a fault of the script is no result
    record.say(f"cannot run: {error!r}")
    print(repr(error), file=sys.stderr)
    code = 2
finally:
    if rig is not None:
        rig.close()
os._exit(code)
