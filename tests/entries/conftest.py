"""The shapes of odd values belong to the tests of the platform."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
