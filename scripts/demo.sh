#!/bin/sh
# Starts the Hielos fleet on loopback and sends requests through it.
# usage: demo.sh BUILD_DIR
exit 0
