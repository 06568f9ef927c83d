"""Starts the router on the platform from a checkout whose packages are in target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src")]

from jacinthcove.commands.platform import main  # noqa: E402

sys.exit(main())
