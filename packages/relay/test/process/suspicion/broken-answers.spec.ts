/**
 * Guards against content that crashes its targets after the first event of an answer, which was never quarantined, and against a quarantine
 * of popular content whose answers are cut by ordinary losses. Each case is one pattern of losses and completions, on a paused clock.
 */
import * as assert from 'uvu/assert'
import { SubjectKind } from '@wigeonlead/relay'
import { playCases, type QuarantineCase } from './quarantine-vm.js'

const CASES: QuarantineCase[] = [
  {
    name: 'five targets end within answers to a part: its requests are refused, others with the same first part are not',
    play (vm) {
      for (let loss = 0; loss < 5; loss++) {
        assert.not(vm.isRefused('first', 'bad'), `after ${loss} losses`)
        vm.break(['first', 'bad'])
        vm.complete('first')
      }
      assert.ok(vm.isRefused('first', 'bad'))
      assert.not(vm.isRefused('first'))
      assert.not(vm.isRefused('first', 'other'))
    }
  },
  {
    name: 'targets end one after the other within answers to a popular part, of which some are completed meanwhile: not refused',
    play (vm) {
      for (let loss = 0; loss < 40; loss++) {
        vm.break(['popular', `own-${loss}`])
        if (loss % 3 === 2) vm.complete('popular', `own-${loss}`)
        vm.complete('other')
      }
      assert.not(vm.isRefused('popular'))
    }
  },
  {
    name: 'five targets end at the same moment within hundreds of long answers: not refused',
    play (vm) {
      vm.clock.tick(60_000)
      for (let answer = 0; answer < 300; answer++) {
        const content = { ...vm.request(`${answer}`), parts: ['popular', `own-${answer}`] }
        vm.quarantine.recordBegin(content)
        vm.quarantine.recordLoss(content, {
          incarnation: `r${answer % 5}@1`, sentAt: performance.now() - 100 * answer, hasHead: true, hasEvents: true
        })
      }
      vm.complete('other')
      assert.not(vm.isRefused('popular', 'own-1'))
      assert.ok(vm.mayRepeat('popular', 'own-1'))
    }
  },
  {
    name: 'long answers were sent before the first of ten targets that end in turn: not refused',
    play (vm) {
      vm.clock.tick(60_000)
      for (let loss = 0; loss < 10; loss++) vm.break(['popular'], { sentAgo: 30_000 })
      vm.complete('other')
      assert.not(vm.isRefused('popular'))
    }
  },
  {
    name: 'all answers of the service break off, with any part: not refused, since nothing shows that it is the part',
    play (vm) {
      for (let loss = 0; loss < 10; loss++) vm.break(['rare'])
      vm.begin('other')
      assert.not(vm.isRefused('rare'))
    }
  },
  {
    name: 'targets end one after the other within long answers with a popular part, of which others go on: not refused',
    play (vm) {
      for (let loss = 0; loss < 10; loss++) {
        vm.quarantine.recordSurvival('model', ['popular'])
        vm.break(['popular', `own-${loss}`])
        vm.complete('other')
        assert.not(vm.isRefused('popular'), `after ${loss + 1} losses`)
        vm.quarantine.recordSurvival('model', ['popular'])
      }
      assert.not(vm.isRefused('popular'))
    }
  },
  {
    name: 'a part that has crashed targets within answers is completed later: served again',
    play (vm) {
      for (let loss = 0; loss < 5; loss++) vm.break(['rare'])
      vm.complete('other')
      assert.ok(vm.isRefused('rare'))
      vm.complete('rare')
      assert.not(vm.isRefused('rare'))
    }
  },
  {
    name: 'a request that ends five targets within its answers: it is refused, others with its parts are not',
    play (vm) {
      for (let loss = 0; loss < 5; loss++) {
        assert.not(vm.isRequestRefused('bad'), `after ${loss} losses`)
        vm.break(['first'], { digest: 'bad' })
        vm.complete('first')
      }
      assert.ok(vm.isRequestRefused('bad'))
      assert.not(vm.isRefused('first'))
    }
  },
  {
    name: 'an operator lifts the quarantine of a part that ended targets within answers',
    play (vm) {
      for (let loss = 0; loss < 5; loss++) vm.break(['rare'])
      vm.complete('other')
      assert.ok(vm.quarantine.lift(SubjectKind.AnsweredPromptPart, 'model', 'rare'))
      assert.not(vm.isRefused('rare'))
    }
  }
]

playCases('quarantine of content whose answers break off', CASES)
