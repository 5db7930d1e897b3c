// Generates gen/peer.js and gen/peer.d.ts from peer.proto. Both are committed, so a build needs no generator.
import { readFileSync, writeFileSync } from 'node:fs'
import pbjs from 'protobufjs-cli/pbjs.js'
import pbts from 'protobufjs-cli/pbts.js'

const run = (tool, args) => new Promise((resolve, reject) => {
  tool.main(args, err => err ? reject(err) : resolve())
})

await run(pbjs, ['-t', 'static-module', '-w', 'es6', '--es6', '--force-number', '--no-delimited', '--no-verify', '-o', 'gen/peer.js', 'peer.proto'])
await run(pbts, ['-o', 'gen/peer.d.ts', 'gen/peer.js'])

// Node resolves the CommonJS build of protobufjs only by file name and default import.
const code = readFileSync('gen/peer.js', 'utf8')
writeFileSync('gen/peer.js', code.replace('import * as $protobuf from "protobufjs/minimal"', 'import $protobuf from "protobufjs/minimal.js"'))
