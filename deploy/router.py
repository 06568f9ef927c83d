"""Starts the router on the platform from a checkout whose packages are in target/deps."""

import signal
import sys
from pathlib import Path

# A change of the settings may be signalled before the program has read its modules. Ignoring it
# loses nothing, because the settings file is compared every few seconds.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src")]

from jacinthcove.commands.platform import main  # noqa: E402

sys.exit(main())
