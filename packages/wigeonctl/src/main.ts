#!/usr/bin/env node
/**
 * The binary `wigeonctl`: the operators' tool.
 */
import { runTool } from './command-line.js'

process.exitCode = await runTool(process.argv)
