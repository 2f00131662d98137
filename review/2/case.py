"""DRAIN: a daemon restarts after it has acknowledged that its server leaves; a liveness report is late."""

import asyncio
import signal

from mesh import CannotRun, document, main, request, route

HOST = "orders.example"
PATH = "/commissions/"
# The server serves on for some seconds after the ack, as some do.
SERVES_ON_S = 7.0
RESTART_AFTER_S = 0.5
# The report was sent just before the server left.
REPORT_LATE_S = 3.0


async def send(mesh, daemon, name, work_ms):
    answer = await request(daemon, "POST", HOST, PATH, name, work_ms=work_ms, body=b"speech")
    mesh.record(f"client: {name} on {daemon.name} is answered with {answer and answer[0]}")


async def case(mesh, trouble):
    machines = [("vm-a", "sthlm-a", "sthlm", "orders"), ("vm-b", "sthlm-a", "sthlm", "orders"),
                ("vm-c", "sthlm-b", "sthlm", "orders")]
    commissions = route("commissions", PATH, "orders", "non_idempotent")
    await mesh.start(machines, document(3, ["orders"], HOST, [commissions]))
    await mesh.settle(HOST, [PATH])
    daemon, server = mesh.daemons[0], mesh.servers[0]
    drain_s, stable_s = float(mesh.bounds["DrainS"]), float(mesh.bounds["StableWindowS"])

    report = server.report()
    mesh.record(f"server {server.id}: sends a liveness report with State ready, Seq {server.seq}, which will be late")
    status = await server.deregister()
    acked = mesh.record.now()
    mesh.record(f"server {server.id}: Instances.Deregister is answered with {status}: acknowledged at {acked:.3f} s")
    if status != 200:
        raise CannotRun("no acknowledgement")
    restarted = acked
    if trouble:
        daemon.send(signal.SIGKILL)
        await daemon.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        await daemon.start()
        await daemon.ready()
        restarted = mesh.record.now()
        mesh.record(f"platform: {daemon.name} is ready")
    await asyncio.sleep(acked + REPORT_LATE_S - mesh.record.now())
    mesh.record(f"server {server.id}: the liveness report arrives, {REPORT_LATE_S} s late")
    status = await server.beat(report)
    mesh.record(f"server {server.id}: it is answered with {status}")

    in_touch = max(restarted, acked) + stable_s + 0.2
    await asyncio.sleep(max(0.0, in_touch - mesh.record.now()))
    number = 0
    while mesh.record.now() < acked + SERVES_ON_S:
        name = f"commission-{number}"
        number += 1
        await send(mesh, daemon, name, 200)
    # The server exits while it runs what it was still given.
    last = [asyncio.create_task(send(mesh, daemon, f"last-{index}", 1500)) for index in range(6)]
    await asyncio.sleep(0.5)
    server.exit()
    await asyncio.gather(*last)
    late = [(name, at) for name, at in server.runs if at > acked + drain_s]
    for name, at in late:
        mesh.record(f"{name} reached server {server.id} {at - acked:.3f} s after the ack; DrainS is {drain_s}")
    if number == 0:
        raise CannotRun("no request was sent")
    return bool(late)


main(case)
