# Bash completion for pomeloring-ctl; source this file.
_pomeloring_ctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local choices
  case $previous in
    show) choices="config classes members cells entries engines" ;;
    -f | --format) choices="text jsonl chrome" ;;
    check | publish)
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
      return
      ;;
    *)
      choices="check publish mark show stop timeline explain summary in-service leaving stopping
        $(pomeloring-ctl --help 2>/dev/null | grep -o -- '--[a-z]*')"
      ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$word")
}
complete -F _pomeloring_ctl pomeloring-ctl
