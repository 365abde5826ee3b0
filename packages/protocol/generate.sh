#!/usr/bin/env bash
# Renews the committed generated code after a change of zinniacart.proto.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" zinniacart.proto
