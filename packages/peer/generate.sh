#!/usr/bin/env bash
# Generates src/generated from proto/*.proto. Requires protoc. The output is
# committed, so the build does not run this script.
set -euo pipefail
cd "$(dirname "$0")"
protoc --plugin=protoc-gen-ts_proto=../../node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=src/generated --proto_path=proto \
  --ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,importSuffix=.ts,exportCommonSymbols=false,forceLong=number,useOptionals=none,outputIndex=false,env=node,initializeFieldsAsUndefined=false,outputJsonMethods=false,outputPartialMethods=true,snakeToCamel=true \
  proto/*.proto
