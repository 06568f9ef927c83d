"""How long a target that turned cold while it ran is spared by the routers that know of it.

What routers sent to it as to a warm target cannot be recalled, and others that do not know of it
yet still send. If those that know added their quotas, the target would get both in the same second.
So they wait until what was sent before all of them knew has left the window of the limit.
"""

# Time from the first router that knows to the last one in touch: a report to the collector of a
# failure domain, its bundle to another domain and the bundle of that domain's collector.
KNOWN_EVERYWHERE_MS = 700
# A little over a second, because requests may take different times to arrive.
COLD_WINDOW_MS = 1_150
QUIET_MS = KNOWN_EVERYWHERE_MS + COLD_WINDOW_MS
