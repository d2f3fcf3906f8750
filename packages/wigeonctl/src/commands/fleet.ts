/**
 * `wigeonctl fleet`: what the relays of a fleet believe and refuse, read from their metrics addresses.
 */
import { get } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import { ExitCode, type CommandOutput } from '../tool.js'

/** What one relay's metrics tell. */
export interface RelayState {
  address: string
  version: number
  beliefAgeSeconds: number
  isCoordinator: boolean
  streamsUnderWay: number
  answered: number
  /** Refused requests by reason. */
  refused: Record<string, number>
}

type Answer = RelayState | { address: string, unreachable: string }

/** One line of the Prometheus text format. */
interface Sample {
  name: string
  labels: Record<string, string>
  value: number
}

/** A relay answers within some milliseconds; a longer wait is given up, milliseconds. */
const ANSWER_LIMIT_MILLISECONDS = 2000
const ANSWER_BYTES_LIMIT = 1_048_576
/** Older word than this means that the relay hears neither from the store nor from peers, seconds: some polls of the store. */
const OLD_BELIEF_SECONDS = 3
const PREFIX = 'wigeonlead_'

/**
 * Reads the metrics of relays. Exit code 1 when one can't be reached, is behind in its version or holds old beliefs, or when there are
 * several coordinators.
 * @param addresses `IP:PORT` of the metrics listeners.
 */
export async function fleetCommand (addresses: readonly string[]): Promise<CommandOutput> {
  const answers = await Promise.all(addresses.map(readRelay))
  const relays = answers.filter((answer): answer is RelayState => 'version' in answer)
  const newest = Math.max(0, ...relays.map(({ version }) => version))
  const faults = [
    ...answers.flatMap(answer => 'unreachable' in answer ? [`${answer.address} could not be reached: ${answer.unreachable}`] : []),
    ...relays.filter(({ version }) => version < newest).map(({ address, version }) => `${address} has version ${version}, not ${newest}`),
    ...relays.filter(({ beliefAgeSeconds }) => !(beliefAgeSeconds <= OLD_BELIEF_SECONDS))
      .map(({ address, beliefAgeSeconds }) => `${address} heard last of the store ${beliefAgeSeconds} s ago`),
    ...(relays.filter(({ isCoordinator }) => isCoordinator).length > 1 ? ['several relays hold the coordinator\'s lease'] : [])
  ]
  const text = [`version ${newest}; ${relays.length} of ${addresses.length} relays answered`, ...relays.map(describe), ...faults].join('\n')
  const code = faults.length === 0 && relays.length > 0 ? ExitCode.Done : ExitCode.Failed
  return { code, text, value: { version: newest, relays, faults } }
}

async function readRelay (address: string): Promise<Answer> {
  try {
    return toState(address, readSamples(await readText(address)))
  } catch (error) {
    return { address, unreachable: (error as Error).message }
  }
}

function readText (address: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const asked = get(`http://${address}/metrics`, { agent: false, timeout: ANSWER_LIMIT_MILLISECONDS }, answer => {
      readAnswer(answer, ANSWER_BYTES_LIMIT).then(body => resolve(body.toString()), reject)
    })
    asked.on('timeout', () => asked.destroy(new Error('no answer in time')))
    asked.on('error', reject)
  })
}

function readSamples (text: string): Sample[] {
  return text.split('\n').flatMap(line => {
    const [, name, labels = '', value] = /^([a-z_]+)(\{.*\})? (\S+)$/.exec(line) ?? []
    if (name === undefined || !name.startsWith(PREFIX)) return []
    const pairs = [...labels.matchAll(/([a-z_]+)=("(?:[^"\\]|\\.)*")/g)].map(([, key, quoted]) => [key!, JSON.parse(quoted!) as string])
    return [{ name: name.slice(PREFIX.length), labels: Object.fromEntries(pairs) as Record<string, string>, value: Number(value) }]
  })
}

function toState (address: string, samples: readonly Sample[]): RelayState {
  const all = (name: string): Sample[] => samples.filter(sample => sample.name === name)
  const gauge = (name: string): number => {
    const [sample] = all(name)
    if (sample === undefined) throw new Error(`found no ${PREFIX}${name}, wanted the metrics of a relay`)
    return sample.value
  }
  const refused: Record<string, number> = {}
  for (const { labels, value } of all('requests_refused_total')) {
    const reason = labels.reason ?? 'unknown'
    refused[reason] = (refused[reason] ?? 0) + value
  }
  return {
    address,
    version: gauge('configuration_version'),
    beliefAgeSeconds: gauge('belief_age_seconds'),
    isCoordinator: gauge('is_coordinator') === 1,
    streamsUnderWay: gauge('streams_under_way'),
    answered: all('requests_answered_total').reduce((sum, { value }) => sum + value, 0),
    refused
  }
}

function describe (relay: RelayState): string {
  const refused = Object.entries(relay.refused).map(([reason, count]) => `${reason} ${count}`).join(', ')
  const fields = [
    relay.address, `version ${relay.version}`, `word ${relay.beliefAgeSeconds.toFixed(1)} s old`, `${relay.streamsUnderWay} streams`,
    `answered ${relay.answered}`, `refused ${refused === '' ? 'none' : refused}`
  ]
  return fields.concat(relay.isCoordinator ? ['coordinator'] : []).join('  ')
}
