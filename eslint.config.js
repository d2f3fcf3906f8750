import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    rules: {
      'no-void': ['error', { allowAsStatement: true }],
      'max-lines': ['error', { max: 400 }],
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }]
    }
  }
]
