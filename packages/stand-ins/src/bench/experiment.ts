/**
 * Types of the experiments that `npm run bench` runs, and of their results.
 */

/** A cell of a result table. */
export type Cell = string | number

/** Data of a bar chart: each series has one value per group. */
export interface ExperimentPlot {
  title: string
  unit: string
  groups: string[]
  series: Array<{ name: string, values: number[] }>
}

/** The result of an experiment: a table whose column names include the units. */
export interface ExperimentResult {
  columns: string[]
  rows: Cell[][]
  /** Whether the goals are met, and other conclusions from the table, one line each. */
  notes: string[]
  /** Further data, such as fits and the machine's load average; written to the result file, not printed. */
  details?: Record<string, unknown>
  plot?: ExperimentPlot
}

/** Options of one run of an experiment. */
export interface ExperimentOptions {
  seed: number
  /** Whether to shorten the run, for a quick check rather than for recorded results. */
  quick: boolean
}

/** An experiment, with a summary for the list of experiments. */
export interface Experiment {
  summary: string
  run: (options: ExperimentOptions) => Promise<ExperimentResult>
}
