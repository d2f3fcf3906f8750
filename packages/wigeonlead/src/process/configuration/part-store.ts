/**
 * The manifest's parts at a node: those of the heads that are kept, and how missing ones are fetched.
 */
import {
  CONFIGURATION_PART_PREFIX, PeerMethod, digestText, type ConfigurationHead, type KeyValuePort, type ManifestPartContent, type PeerPort
} from '@wigeonlead/protocol'

/** The parts that a node keeps. */
export interface PartStore {
  /** Fetches what is missing for a head: from a peer where one is named, else from the key-value service, else from the others. */
  fetch: (head: ConfigurationHead, peer: string | undefined, others: string[]) => Promise<PartFetch>
  /** @returns those of the parts that are kept. */
  find: (digests: string[]) => ManifestPartContent[]
  /** Forgets all parts but those of the given heads. */
  retain: (heads: ConfigurationHead[]) => void
}

/** All parts of a head, in order, or the digest of one that could not be had. */
export type PartFetch = { contents: string[] } | { missing: string }

const PARTS_OF_A_CALL = 8
const PARTS_AT_ONCE = 8
const CALL_DEADLINE_MILLISECONDS = 2000

/** Makes an empty store. */
export function createPartStore (keyValue: KeyValuePort, peers: PeerPort): PartStore {
  const contents = new Map<string, string>()

  function missing (digests: string[]): string[] {
    return [...new Set(digests)].filter(digest => !contents.has(digest))
  }

  function keep (digest: string, content: string | undefined): void {
    if (content !== undefined && digestText(content) === digest) contents.set(digest, content)
  }

  async function fetchFromPeer (digests: string[], peer: string): Promise<void> {
    for (let start = 0; start < digests.length; start += PARTS_OF_A_CALL) {
      const wanted = digests.slice(start, start + PARTS_OF_A_CALL)
      const outcome = await peers.call(peer, PeerMethod.ConfigurationParts, { digests: wanted }, CALL_DEADLINE_MILLISECONDS)
      if (!outcome.ok || outcome.value.parts.length === 0) return
      for (const part of outcome.value.parts) {
        if (wanted.includes(part.digest)) keep(part.digest, part.content)
      }
    }
  }

  async function fetchFromKeyValue (digests: string[]): Promise<void> {
    const left = [...digests]
    async function fetchSome (): Promise<void> {
      for (let digest = left.pop(); digest !== undefined; digest = left.pop()) {
        const read = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
        if (!read.ok) return
        keep(digest, read.value.entry?.value)
      }
    }
    await Promise.all(Array.from({ length: PARTS_AT_ONCE }, fetchSome))
  }

  return {
    async fetch (head, peer, others) {
      const steps = [
        ...(peer === undefined ? [] : [() => fetchFromPeer(missing(head.parts), peer)]),
        () => fetchFromKeyValue(missing(head.parts)),
        ...others.map(other => () => fetchFromPeer(missing(head.parts), other))
      ]
      for (const step of steps) {
        if (missing(head.parts).length > 0) await step()
      }
      const lacking = missing(head.parts)[0]
      return lacking === undefined ? { contents: head.parts.map(digest => contents.get(digest) ?? '') } : { missing: lacking }
    },
    find: digests => digests.flatMap(digest => {
      const content = contents.get(digest)
      return content === undefined ? [] : [{ digest, content }]
    }),
    retain (heads) {
      const named = new Set(heads.flatMap(head => head.parts))
      for (const digest of [...contents.keys()]) {
        if (!named.has(digest)) contents.delete(digest)
      }
    }
  }
}
