"""The platform's memory limit: kills the process PID once it has used more than MB megabytes.

Prints the peak and ends then, or when the process has ended.
"""

import os
import signal
import sys
import time

pid, limit = int(sys.argv[1]), float(sys.argv[2])
peak = 0.0
try:
    with open(f"/proc/{pid}/status", "rb", buffering=0) as file:
        while True:
            text = os.pread(file.fileno(), 4096, 0)
            at = text.find(b"VmHWM:")
            if at < 0:
                break
            peak = int(text[at + 6:text.index(b"kB", at)]) * 1024 / 1e6
            if peak > limit:
                os.kill(pid, signal.SIGKILL)
                print(f"killed {peak:.0f}", flush=True)
                sys.exit(0)
            time.sleep(0.0002)
except OSError:
    pass
print(f"ended {peak:.0f}", flush=True)
