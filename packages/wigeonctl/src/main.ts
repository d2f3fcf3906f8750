#!/usr/bin/env node
/**
 * Entry point of `wigeonctl`, the operators' command-line tool.
 */
import { runTool } from './command-line.js'

process.exitCode = await runTool(process.argv)
