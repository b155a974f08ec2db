"""A worker: a child process that runs many hollow ingresses with the measured project's package."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

from scale.experiment.messages import Finish, Load, Ready, RestartHollow, SilentZone, StartHollow
from scale.experiment.pipe import receive_commands, run_child, send_message


def import_measured_package(project: Path) -> None:
    """Import `ingress` from the measured project, not from another copy on the import path."""
    sys.path.insert(0, str(project))
    import ingress

    imported_root = Path(str(ingress.__file__)).resolve().parent.parent
    if imported_root != project.resolve():
        raise RuntimeError("the package of another checkout was imported")
    logging.getLogger("ingress").setLevel(logging.CRITICAL)


async def serve() -> None:
    """Run hollow ingresses and carry out the commands of the runner."""
    from scale.experiment.worker import Worker

    worker: Worker | None = None
    async for message in receive_commands():
        if isinstance(message, StartHollow):
            worker = Worker(message)
            await worker.start()
            send_message(Ready())
            continue
        if worker is None:
            raise RuntimeError(f"{message.kind} was received before the start message")
        match message:
            case Load():
                worker.start_load()
            case SilentZone():
                worker.set_zone_silent(message.zone, message.silent)
            case RestartHollow():
                await worker.restart(message.numbers)
            case Finish():
                send_message(await worker.finish())
                break


if __name__ == "__main__":
    import_measured_package(Path(sys.argv[1]))
    sys.exit(run_child(serve))
