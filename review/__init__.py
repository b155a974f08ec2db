"""The cases of an independent review; each has a folder with `claim.txt` and `run.sh`."""
